#include "plantaintiller/gateway/statement_metrics.h"

#include <chrono>
#include <sstream>

namespace plantaintiller::gateway {

namespace {

const char* KindName(core::consistency kind) {
  switch (kind) {
    case core::consistency::kPrimary:
      return "primary";
    case core::consistency::kBoundedStaleness:
      return "bounded_staleness";
    case core::consistency::kReadYourWrites:
      return "read_your_writes";
  }
  return "primary";
}

}  // namespace

void statement_metrics::OnAnswer(const core::route* route,
                                 bool at_leader,
                                 core::duration took,
                                 const char* failure) {
  if (failure != nullptr) {
    failures_[failure] += 1;
    return;
  }
  if (route == nullptr) {
    return;
  }
  kind_counts& counts = kinds_[KindName(route->kind)];
  (at_leader ? counts.at_leader : counts.at_replica) += 1;
  counts.seconds += std::chrono::duration<double>(took).count();
  const auto ms =
      static_cast<std::uint64_t>(core::ToMilliseconds(took).count());
  std::size_t bucket = 0;
  while (bucket + 1 < kBuckets && ms >= kBounds[bucket]) {
    ++bucket;
  }
  counts.buckets[bucket] += 1;
}

std::string statement_metrics::Text() const {
  std::ostringstream out;
  out << "# TYPE plantaintiller_statement_seconds histogram\n";
  for (const auto& [kind, counts] : kinds_) {
    std::uint64_t sum = 0;
    for (std::size_t n = 0; n < kBuckets; ++n) {
      sum += counts.buckets[n];
      out << "plantaintiller_statement_seconds_bucket{route=\"" << kind
          << "\",le=\"";
      if (n + 1 < kBuckets) {
        out << static_cast<double>(kBounds[n]) / 1000;
      } else {
        out << "+Inf";
      }
      out << "\"} " << sum << "\n";
    }
    out << "plantaintiller_statement_seconds_sum{route=\"" << kind << "\"} "
        << counts.seconds << "\n"
        << "plantaintiller_statement_seconds_count{route=\"" << kind << "\"} "
        << sum << "\n";
  }
  out << "# TYPE plantaintiller_statements_total counter\n";
  for (const auto& [kind, counts] : kinds_) {
    out << "plantaintiller_statements_total{route=\"" << kind
        << "\",by=\"leader\"} " << counts.at_leader << "\n"
        << "plantaintiller_statements_total{route=\"" << kind
        << "\",by=\"replica\"} " << counts.at_replica << "\n";
  }
  out << "# TYPE plantaintiller_refusals_total counter\n";
  for (const auto& [name, count] : failures_) {
    out << "plantaintiller_refusals_total{type=\"" << name << "\"} " << count
        << "\n";
  }
  for (const auto& [name, count] : counters_) {
    out << "# TYPE plantaintiller_" << name << "_total counter\n"
        << "plantaintiller_" << name << "_total " << count << "\n";
  }
  for (const auto& [name, value] : gauges_) {
    out << "# TYPE plantaintiller_" << name << " gauge\n"
        << "plantaintiller_" << name << " " << value << "\n";
  }
  return out.str();
}

}  // namespace plantaintiller::gateway
