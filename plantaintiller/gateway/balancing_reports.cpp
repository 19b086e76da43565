#include "plantaintiller/gateway/balancing_reports.h"

#include <array>
#include <sstream>
#include <utility>

namespace plantaintiller::gateway {

bool balancing_reports::MayLog() {
  const core::time_point now = core::clock::now();
  if (now - window_began_ >= kWindow) {
    window_began_ = now;
    lines_ = 0;
  }
  if (lines_ >= kMaxLines) {
    suppressed_ += 1;
    return false;
  }
  lines_ += 1;
  return true;
}

void balancing_reports::OnEjected(const std::string& group,
                                  const std::string& server,
                                  balancing::ejection_reason reason) {
  if (MayLog()) {
    log_line(log_, "balancing", "ejected")
        .With("group", group)
        .With("server", server)
        .With("reason", balancing::ReasonName(reason))
        .With("suppressed_lines", std::exchange(suppressed_, 0));
  }
}

void balancing_reports::OnReturned(const std::string& group,
                                   const std::string& server,
                                   balancing::ejection_reason reason,
                                   core::duration after) {
  if (MayLog()) {
    log_line(log_, "balancing", "returned")
        .With("group", group)
        .With("server", server)
        .With("reason", balancing::ReasonName(reason))
        .With("after_ms", core::ToMilliseconds(after).count())
        .With("suppressed_lines", std::exchange(suppressed_, 0));
  }
}

std::string balancing_reports::Text(
    const std::vector<const replication::group_state*>& groups,
    core::time_point now) {
  using balancing::ejection_reason;
  using replication::distance;
  constexpr std::array<ejection_reason, balancing::kEjectionReasons> kReasons{
      ejection_reason::kFailing, ejection_reason::kHanging,
      ejection_reason::kResetting, ejection_reason::kSlow};
  constexpr std::array<std::pair<distance, const char*>, 3> kDistances{
      {{distance::kSameZone, "same_zone"},
       {distance::kSameRegion, "same_region"},
       {distance::kOtherRegion, "other_region"}}};
  std::array<std::uint64_t, kReasons.size()> ejections{};
  std::array<std::uint64_t, kDistances.size()> reads{};
  std::ostringstream scores;
  std::ostringstream ejected;
  bool any = false;
  for (const replication::group_state* group : groups) {
    const balancing::load_balancer* balancer = group->Balancer();
    if (balancer == nullptr) {
      continue;
    }
    any = true;
    for (std::size_t n = 0; n < kReasons.size(); ++n) {
      ejections[n] += balancer->Ejections(kReasons[n]);
    }
    for (std::size_t n = 0; n < kDistances.size(); ++n) {
      reads[n] += balancer->Reads(kDistances[n].first);
    }
    for (const auto& [server, score] : balancer->Scores(now)) {
      const std::string labels =
          "{group=\"" + group->Name() + "\",server=\"" + server + "\"} ";
      scores << "plantaintiller_server_score_ms" << labels << score << "\n";
      ejected << "plantaintiller_server_ejected" << labels
              << (balancer->IsEjected(server) ? 1 : 0) << "\n";
    }
  }
  if (!any) {
    return "";
  }
  std::ostringstream out;
  out << "# TYPE plantaintiller_server_score_ms gauge\n"
      << scores.str() << "# TYPE plantaintiller_server_ejected gauge\n"
      << ejected.str() << "# TYPE plantaintiller_ejections_total counter\n";
  for (std::size_t n = 0; n < kReasons.size(); ++n) {
    out << "plantaintiller_ejections_total{reason=\""
        << balancing::ReasonName(kReasons[n]) << "\"} " << ejections[n] << "\n";
  }
  out << "# TYPE plantaintiller_reads_by_distance_total counter\n";
  for (std::size_t n = 0; n < kDistances.size(); ++n) {
    out << "plantaintiller_reads_by_distance_total{distance=\""
        << kDistances[n].second << "\"} " << reads[n] << "\n";
  }
  return out.str();
}

}  // namespace plantaintiller::gateway
