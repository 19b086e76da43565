#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/accounts/operation_limiter.h"
#include "plantaintiller/core/route.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/gateway/relay_selection.h"

namespace plantaintiller::gateway {

/// Provides the instances that reports are sent to.
class limit_exchange_host {
 public:
  virtual ~limit_exchange_host() = default;
  /// @return live instances, without this one.
  virtual std::vector<relay_candidate> LimitPeers() const = 0;
  /// @return the number of instances that may admit operations, with this one.
  virtual std::size_t AdmittingInstances() const = 0;
};

/// Limits the operations of accounts over all instances, and exchanges what
/// they admit as Cap'n Proto datagrams through the zones' relays. Sends nothing
/// while the configuration has no limits.
class limit_exchange {
 public:
  /// All references must outlive the exchange.
  limit_exchange(boost::asio::io_context& context,
                 const gateway_settings& settings,
                 event_log& log,
                 limit_exchange_host& host);
  ~limit_exchange();

  /// Opens the socket.
  void Start();
  /// Tells the others that this instance stops.
  void Stop();
  /// Applies the limits of a configuration.
  void OnConfiguration(const core::route_table& routes);
  accounts::operation_limiter& Limiter();
  /// @return metrics in the Prometheus text format: the accounts with the most
  /// operations each, and the sum of the others.
  std::string MetricsText() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
