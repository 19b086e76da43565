#include "plantaintiller/gateway/member_life.h"

#include <algorithm>

namespace plantaintiller::gateway {

void member_life::OnHeard(core::time_point now) {
  in_a_row_ = now - heard_ < kSilence ? std::min(in_a_row_ + 1, kRegular) : 1;
  heard_ = now;
}

void member_life::OnVouched(core::time_point heard) {
  vouched_ = std::max(vouched_, heard);
}

bool member_life::IsLive(core::time_point now) const {
  if (now - heard_ < kSilence) {
    return true;
  }
  const bool missed = in_a_row_ >= kRegular && vouched_ <= heard_ + kNewer;
  return !missed && now - LastSign() < kVouched;
}

core::time_point member_life::LastSign() const {
  return std::max(heard_, vouched_);
}

}  // namespace plantaintiller::gateway
