#include "plantaintiller/decisions/backend_pool.h"

#include <algorithm>

namespace plantaintiller::decisions {

namespace {
// Weight of the past in the smoothed service time, out of kSmoothing + 1.
constexpr int kSmoothing = 7;
}  // namespace

backend_pool::backend_pool(int limit, std::size_t queue_capacity)
    : queue_(limit, queue_capacity),
      limit_(static_cast<std::size_t>(limit)),
      connections_(limit_) {}

std::vector<std::uint32_t> backend_pool::SetLimit(int limit) {
  std::vector<std::uint32_t> idle;
  limit_ = static_cast<std::size_t>(limit);
  queue_.SetConnections(limit);
  if (connections_.size() < limit_) {
    connections_.resize(limit_);
  }
  for (std::size_t n = limit_; n < connections_.size(); ++n) {
    if (!connections_[n].busy) {
      idle.push_back(static_cast<std::uint32_t>(n));
    }
  }
  return idle;
}

core::duration backend_pool::ExpectedWait(core::request_class priority) const {
  const auto ahead = static_cast<core::duration::rep>(queue_.Length(priority));
  const core::duration::rep share = std::max(1, queue_.ReservedShare(priority));
  return service_time_ * ahead / share;
}

std::optional<backend_pool::started_work> backend_pool::StartNext(
    core::time_point now) {
  if (!IsOpen(now)) {
    return std::nullopt;
  }
  const auto first = connections_.begin();
  const auto last = first + static_cast<std::ptrdiff_t>(limit_);
  const auto usable =
      std::find_if(first, last, [now](const connection_state& connection) {
        return !connection.busy && connection.paused_until <= now;
      });
  if (usable == last) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> handle = queue_.Pop();
  if (!handle.has_value()) {
    return std::nullopt;
  }
  usable->busy = true;
  return started_work{*handle, static_cast<std::uint32_t>(usable - first)};
}

bool backend_pool::Release(std::uint32_t connection,
                           core::request_class priority) {
  connections_[connection].busy = false;
  queue_.Release(priority);
  return connection >= limit_;
}

void backend_pool::RecordServiceTime(core::duration took) {
  service_time_ = (service_time_ * kSmoothing + took) / (kSmoothing + 1);
}

bool backend_pool::CanOpenTransaction(int percent) const {
  const int most = static_cast<int>(limit_) * percent / 100;
  return transactions_ < std::max(1, most);
}

}  // namespace plantaintiller::decisions
