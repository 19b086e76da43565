#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::admission {

/// Rate at which work arrives, in seconds of run time per second, averaged with
/// exponential decay.
class demand_rate {
 public:
  /// Records work that arrived.
  /// @param work its run time.
  /// @param window time constant of the average; above zero.
  void OnArrival(core::duration work,
                 core::duration window,
                 core::time_point now);
  /// @return the average at a time.
  double At(core::time_point now) const;

 private:
  double rate_ = 0;
  core::duration window_{1};
  core::time_point updated_at_;
};

}  // namespace plantaintiller::admission
