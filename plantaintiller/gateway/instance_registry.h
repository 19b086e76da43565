#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/gateway/peer_exchange.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::gateway {

/// Told when the other instances are known.
class instance_registry_listener {
 public:
  virtual ~instance_registry_listener() = default;
  virtual void OnInstancesRead() = 0;
};

/// Enters this instance into the store and introduces those found there. Each
/// instance writes before it reads, so that of two that start together at least
/// one finds the other; heartbeats do the rest.
class instance_registry {
 public:
  /// References must outlive the registry.
  instance_registry(boost::asio::io_context& context,
                    const gateway_settings& settings,
                    store::row_store& rows,
                    peer_exchange& peers,
                    instance_registry_listener& listener);

  /// Starts; tries again until the store has answered.
  void Start();
  void Stop();
  /// Whether the other instances that the store names were read.
  bool IsRead() const { return read_; }

 private:
  void Register();
  void Read(const std::string& from);
  void ScheduleRetry();

  const gateway_settings& settings_;
  store::row_store& rows_;
  peer_exchange& peers_;
  instance_registry_listener& listener_;
  boost::asio::steady_timer timer_;
  bool stopped_ = false;
  bool read_ = false;
};

}  // namespace plantaintiller::gateway
