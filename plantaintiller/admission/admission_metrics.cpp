#include "plantaintiller/admission/admission_metrics.h"

#include <chrono>
#include <sstream>

namespace plantaintiller::admission {

void admission_metrics::OnServed(core::duration predicted,
                                 core::duration real) {
  const std::chrono::duration<double, std::milli> error = real - predicted;
  std::size_t bucket = 0;
  while (bucket < kBounds.size() &&
         error.count() > static_cast<double>(kBounds[bucket])) {
    ++bucket;
  }
  errors_[bucket] += 1;
  error_sum_ += error.count() / 1000;
}

std::string admission_metrics::Text(
    const std::map<int, std::size_t>& lengths) const {
  std::ostringstream out;
  out << "# TYPE plantaintiller_admission_queue_length gauge\n";
  for (const auto& [priority, length] : lengths) {
    out << "plantaintiller_admission_queue_length{class=\"" << priority
        << "\"} " << length << "\n";
  }
  out << "# TYPE plantaintiller_admission_refusals_total counter\n";
  for (const auto& [cause, count] : refusals_) {
    out << "plantaintiller_admission_refusals_total{cause=\"" << cause << "\"} "
        << count << "\n";
  }
  out << "# TYPE plantaintiller_admission_retries_total counter\n"
      << "plantaintiller_admission_retries_total{granted=\"true\"} " << retries_
      << "\n"
      << "plantaintiller_admission_retries_total{granted=\"false\"} "
      << retries_denied_ << "\n"
      << "# TYPE plantaintiller_admission_returned_total counter\n"
      << "plantaintiller_admission_returned_total " << returned_ << "\n"
      << "# TYPE plantaintiller_admission_wait_error_seconds histogram\n";
  std::uint64_t sum = 0;
  for (std::size_t n = 0; n < errors_.size(); ++n) {
    sum += errors_[n];
    out << "plantaintiller_admission_wait_error_seconds_bucket{le=\"";
    if (n < kBounds.size()) {
      out << static_cast<double>(kBounds[n]) / 1000;
    } else {
      out << "+Inf";
    }
    out << "\"} " << sum << "\n";
  }
  out << "plantaintiller_admission_wait_error_seconds_sum " << error_sum_
      << "\n"
      << "plantaintiller_admission_wait_error_seconds_count " << sum << "\n";
  return out.str();
}

}  // namespace plantaintiller::admission
