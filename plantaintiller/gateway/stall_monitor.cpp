#include "plantaintiller/gateway/stall_monitor.h"

#include <chrono>

namespace plantaintiller::gateway {

namespace {

using boost::system::error_code;

/// Interval between checks. A stall that is longer than this interval and the
/// logged delay together is never missed.
constexpr core::milliseconds kCheckInterval{200};
/// Delay of a check that is logged: a third of the shortest latency objective
/// of the users' routes.
constexpr core::milliseconds kLoggedDelay{100};

}  // namespace

stall_monitor::stall_monitor(boost::asio::io_context& context,
                             event_log& log,
                             statement_metrics& metrics)
    : timer_(context), log_(log), metrics_(metrics) {}

void stall_monitor::Start() {
  timer_.expires_after(kCheckInterval);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) {
      OnTimer();
    }
  });
}

void stall_monitor::Stop() {
  timer_.cancel();
}

void stall_monitor::OnTimer() {
  const core::duration delay = core::clock::now() - timer_.expiry();
  if (delay >= kLoggedDelay) {
    metrics_.Count("event_loop_stalls");
    log_line(log_, "instance", "stalled")
        .With("delay_ms",
              std::chrono::duration_cast<core::milliseconds>(delay).count());
  }
  Start();
}

}  // namespace plantaintiller::gateway
