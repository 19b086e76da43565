#include "plantaintiller/admission/demand_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace plantaintiller::admission {

namespace {

double Seconds(core::duration span) {
  return std::chrono::duration<double>(span).count();
}

}  // namespace

void demand_rate::OnArrival(core::duration work,
                            core::duration window,
                            core::time_point now) {
  rate_ = At(now) + Seconds(work) / Seconds(window);
  window_ = window;
  updated_at_ = now;
}

double demand_rate::At(core::time_point now) const {
  const double elapsed = std::max(0.0, Seconds(now - updated_at_));
  return rate_ * std::exp(-elapsed / Seconds(window_));
}

}  // namespace plantaintiller::admission
