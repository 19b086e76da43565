#include "plantaintiller/metrics/registry.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace plantaintiller::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles{0.5, 0.9, 0.99};

using total_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
// P-square: Jain and Chlamtac, 1985; estimates a quantile in constant memory.
using quantile_accumulator =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

const char* KindName(const core::statement& work) {
  if (work.access == core::access_kind::kWrite) {
    return "write";
  }
  switch (work.priority) {
    case core::request_class::kFresh:
      return "fresh_read";
    case core::request_class::kStale:
      return "stale_read";
    case core::request_class::kBackground:
      return "background_read";
  }
  return "read";
}

}  // namespace

class registry::implementation {
 public:
  struct kind_metrics {
    total_accumulator seconds;
    std::vector<quantile_accumulator> quantiles;
    std::uint64_t at_primary = 0;
    std::uint64_t at_replica = 0;
  };

  static kind_metrics NewKind() {
    kind_metrics new_metrics;
    for (const double quantile : kQuantiles) {
      new_metrics.quantiles.emplace_back(acc::quantile_probability = quantile);
    }
    return new_metrics;
  }

  mutable std::mutex mutex;
  std::map<std::string, kind_metrics> kinds;
  std::map<std::string, std::uint64_t> refusals;
};

registry::registry() : implementation_(std::make_unique<implementation>()) {}

registry::~registry() = default;

void registry::OnAnswer(const core::statement& work,
                        const core::statement_outcome& outcome,
                        core::duration latency,
                        bool at_primary) {
  const std::lock_guard lock(implementation_->mutex);
  if (!outcome.Succeeded()) {
    implementation_
        ->refusals[std::string(core::RefusalName(outcome.refusal))] += 1;
    return;
  }
  const auto found = implementation_->kinds
                         .try_emplace(KindName(work), implementation::NewKind())
                         .first;
  implementation::kind_metrics& kind = found->second;
  const double seconds = std::chrono::duration<double>(latency).count();
  kind.seconds(seconds);
  for (quantile_accumulator& quantile : kind.quantiles) {
    quantile(seconds);
  }
  (at_primary ? kind.at_primary : kind.at_replica) += 1;
}

std::string registry::Text() const {
  const std::lock_guard lock(implementation_->mutex);
  std::ostringstream out;
  out << "# TYPE plantaintiller_answer_seconds summary\n";
  for (const auto& [name, kind] : implementation_->kinds) {
    for (std::size_t n = 0; n < kQuantiles.size(); ++n) {
      out << "plantaintiller_answer_seconds{kind=\"" << name << "\",quantile=\""
          << kQuantiles[n] << "\"} "
          << acc::p_square_quantile(kind.quantiles[n]) << "\n";
    }
    out << "plantaintiller_answer_seconds_sum{kind=\"" << name << "\"} "
        << acc::sum(kind.seconds) << "\n";
    out << "plantaintiller_answer_seconds_count{kind=\"" << name << "\"} "
        << acc::count(kind.seconds) << "\n";
  }
  out << "# TYPE plantaintiller_served_total counter\n";
  for (const auto& [name, kind] : implementation_->kinds) {
    out << "plantaintiller_served_total{kind=\"" << name
        << "\",by=\"primary\"} " << kind.at_primary << "\n";
    out << "plantaintiller_served_total{kind=\"" << name
        << "\",by=\"replica\"} " << kind.at_replica << "\n";
  }
  out << "# TYPE plantaintiller_refusals_total counter\n";
  for (const auto& [name, count] : implementation_->refusals) {
    out << "plantaintiller_refusals_total{type=\"" << name << "\"} " << count
        << "\n";
  }
  return out.str();
}

}  // namespace plantaintiller::metrics
