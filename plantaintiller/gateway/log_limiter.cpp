#include "plantaintiller/gateway/log_limiter.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::gateway {

std::optional<std::uint64_t> log_limiter::Admit(std::string_view kind,
                                                core::time_point now) {
  auto found = budgets_.find(kind);
  if (found == budgets_.end()) {
    found = budgets_.emplace(std::string(kind), budget{}).first;
  }
  budget& each = found->second;
  const core::time_point full_at = std::max(each.full_at, now) + kInterval;
  if (full_at - now > kInterval * kBurst) {
    each.omitted += 1;
    return std::nullopt;
  }
  each.full_at = full_at;
  return std::exchange(each.omitted, 0);
}

}  // namespace plantaintiller::gateway
