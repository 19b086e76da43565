#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/statement_metrics.h"

namespace plantaintiller::gateway {

/// Logs and counts stalls of an event loop: times in which no handler of it
/// started, because one took long or the process got no processor time.
class stall_monitor {
 public:
  /// References must outlive the monitor.
  stall_monitor(boost::asio::io_context& context,
                event_log& log,
                statement_metrics& metrics);

  void Start();
  void Stop();

 private:
  void OnTimer();

  boost::asio::steady_timer timer_;
  event_log& log_;
  statement_metrics& metrics_;
};

}  // namespace plantaintiller::gateway
