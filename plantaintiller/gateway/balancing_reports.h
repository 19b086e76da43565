#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/balancing/load_balancer.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// Logs ejected and returned servers, and writes the metrics of balancing.
class balancing_reports : public balancing::ejection_listener {
 public:
  /// @param log must outlive the object.
  explicit balancing_reports(event_log& log) : log_(log) {}

  void OnEjected(const std::string& group,
                 const std::string& server,
                 balancing::ejection_reason reason) override;
  void OnReturned(const std::string& group,
                  const std::string& server,
                  balancing::ejection_reason reason,
                  core::duration after) override;
  /// @return the metrics of groups in the Prometheus text format; empty if none
  /// of them is balanced.
  static std::string Text(
      const std::vector<const replication::group_state*>& groups,
      core::time_point now);

 private:
  /// Limit on lines in one window. Eight groups with one server each that is
  /// ejected and returns fit in.
  static constexpr int kMaxLines = 40;
  static constexpr core::milliseconds kWindow{10000};

  /// @return whether a line may be written now.
  bool MayLog();

  event_log& log_;
  core::time_point window_began_;
  int lines_ = 0;
  std::int64_t suppressed_ = 0;
};

}  // namespace plantaintiller::gateway
