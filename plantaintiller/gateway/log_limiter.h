#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "plantaintiller/core/time.h"

namespace plantaintiller::gateway {

/// Limits the log lines of each kind, so that a storm of one kind neither costs
/// much nor displaces the others.
class log_limiter {
 public:
  /// Lines of a kind that are written without a pause, and the interval at
  /// which one more may follow. Changes of state of a few dozen groups or
  /// servers at once fit.
  static constexpr int kBurst = 60;
  static constexpr core::milliseconds kInterval{50};

  /// @param kind part and event of a line.
  /// @return how many lines of the kind were left out since the last one that
  /// was written; nothing if this one is to be left out.
  std::optional<std::uint64_t> Admit(std::string_view kind,
                                     core::time_point now);

 private:
  struct budget {
    /// When the whole burst is available again.
    core::time_point full_at;
    std::uint64_t omitted = 0;
  };
  std::map<std::string, budget, std::less<>> budgets_;
};

}  // namespace plantaintiller::gateway
