#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/gateway/peer_exchange.h"
#include "plantaintiller/gateway/retry_backoff.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::gateway {

/// Receives the completion of the registry's read.
class instance_registry_listener {
 public:
  virtual ~instance_registry_listener() = default;
  /// Called when all instances listed in the store were passed to the peer
  /// exchange.
  virtual void OnInstancesRead() = 0;
};

/// Registers this instance in the store and passes the instances listed there
/// to the peer exchange.
///
/// An instance whose row is there from before a restart does not write it
/// again, so that a restart of all instances takes no writes. Otherwise it
/// writes its row and then reads again, so that of two that start together at
/// least one finds the other; the other one then learns of it by heartbeats.
class instance_registry {
 public:
  /// References must outlive the registry.
  instance_registry(boost::asio::io_context& context,
                    const gateway_settings& settings,
                    store::row_store& rows,
                    peer_exchange& peers,
                    instance_registry_listener& listener);

  /// Starts; retries until the store has answered.
  void Start();
  /// Registers again, because the store has come back from an older copy that
  /// may lack the registration.
  void RegisterAgain();
  void Stop();
  /// Whether the instances listed in the store have been read.
  bool IsRead() const { return read_; }

 private:
  std::string RowValue() const;
  void Register();
  void Read(const std::string& from);
  void OnRead();
  /// Repeats the call that failed, after a pause.
  void ScheduleRetry(void (instance_registry::*call)());
  void ReadAll() { Read(""); }

  const gateway_settings& settings_;
  store::row_store& rows_;
  peer_exchange& peers_;
  instance_registry_listener& listener_;
  boost::asio::steady_timer timer_;
  retry_backoff backoff_;
  bool stopped_ = false;
  bool read_ = false;
  /// Whether the store has this instance's row with its present value.
  bool registered_ = false;
  std::vector<std::pair<std::string, instance_info>> listed_;
};

}  // namespace plantaintiller::gateway
