#include "plantaintiller/balancing/server_admission.h"

#include <algorithm>

namespace plantaintiller::balancing {

double server_admission::Share(const balancing_settings& settings,
                               core::time_point now) const {
  if (slow_start_at_ == core::time_point{} ||
      now - slow_start_at_ >= settings.slow_start) {
    return 1.0;
  }
  return std::chrono::duration<double>(now - slow_start_at_) /
         std::chrono::duration<double>(settings.slow_start);
}

void server_admission::Eject(ejection_reason reason,
                             const balancing_settings& settings,
                             core::time_point now) {
  const bool forgotten = returned_at_ == core::time_point{} ||
                         now - returned_at_ >= settings.forget_ejections;
  doublings_ = forgotten ? 0 : std::min(doublings_ + 1, settings.max_doublings);
  ejected_ = true;
  reason_ = reason;
  ejected_at_ = now;
  probing_ = false;
  good_probes_ = 0;
  ScheduleProbe(settings, now);
}

void server_admission::ScheduleProbe(const balancing_settings& settings,
                                     core::time_point now) {
  const core::milliseconds first = DelaysCallers()
                                       ? settings.first_probe_slow
                                       : settings.first_probe_failing;
  probe_at_ = now + first * (1 << doublings_);
  last_probe_ = now;
  other_reads_ = 0;
}

bool server_admission::IsProbeDue(const balancing_settings& settings,
                                  core::time_point now) const {
  if (!ejected_ || probing_ || now < probe_at_) {
    return false;
  }
  return good_probes_ > 0 || !DelaysCallers() ||
         other_reads_ >= settings.reads_per_slow_probe ||
         now - last_probe_ >= settings.max_probe_pause;
}

void server_admission::OnProbeSent(core::time_point now) {
  probing_ = true;
  last_probe_ = now;
}

bool server_admission::OnProbeEnded(bool good,
                                    const balancing_settings& settings,
                                    core::time_point now) {
  probing_ = false;
  if (!good) {
    good_probes_ = 0;
    doublings_ = std::min(doublings_ + 1, settings.max_doublings);
    ScheduleProbe(settings, now);
    return false;
  }
  good_probes_ += 1;
  return good_probes_ >= settings.probes_to_return;
}

void server_admission::Return(core::time_point now) {
  ejected_ = false;
  probing_ = false;
  returned_at_ = now;
  StartSlowly(now);
}

void server_admission::OnProbeRefused(core::time_point now) {
  probing_ = false;
  probe_at_ = std::max(probe_at_, now + kRefusedPause);
}

bool server_admission::GiveUpOverdueProbe(const balancing_settings& settings,
                                          core::time_point now) {
  if (!probing_ || now - last_probe_ < 2 * settings.hang_limit) {
    return false;
  }
  OnProbeEnded(false, settings, now);
  return true;
}

}  // namespace plantaintiller::balancing
