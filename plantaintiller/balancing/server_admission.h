#pragma once

#include "plantaintiller/balancing/balancing_settings.h"
#include "plantaintiller/balancing/outlier_rules.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::balancing {

/// Whether a server gets reads: all, a rising share of them (slow start), or,
/// while it is ejected, single probes.
class server_admission {
 public:
  /// Begins a slow start.
  void StartSlowly(core::time_point now) { slow_start_at_ = now; }
  /// @return the share of its usual reads that the server gets, from 0 to 1.
  double Share(const balancing_settings& settings, core::time_point now) const;

  void Eject(ejection_reason reason,
             const balancing_settings& settings,
             core::time_point now);
  /// Ends an ejection, with a slow start.
  void Return(core::time_point now);
  bool IsEjected() const { return ejected_; }
  core::time_point EjectedAt() const { return ejected_at_; }
  ejection_reason Reason() const { return reason_; }
  /// @return whether the outcome of a request says something about the server
  /// as it is now. Requests that were sent to a server that hung may fail long
  /// after it has returned.
  bool IsRelevant(core::time_point sent) const {
    return sent >= (ejected_ ? last_probe_ : returned_at_);
  }

  /// Counts a read of the group that another server got.
  void OnOtherRead() { other_reads_ += 1; }
  /// @return whether the next read may be sent to the ejected server.
  bool IsProbeDue(const balancing_settings& settings,
                  core::time_point now) const;
  /// Called when a read was sent to the ejected server.
  void OnProbeSent(core::time_point now);
  /// Called when a request that was sent after the ejection has ended.
  /// @return whether the server has passed enough probes to return.
  bool OnProbeEnded(bool good,
                    const balancing_settings& settings,
                    core::time_point now);
  /// Called when a probe was refused, which tells nothing.
  void OnProbeRefused(core::time_point now);
  /// Gives up a probe that has no answer yet. @return whether there was one.
  bool GiveUpOverdueProbe(const balancing_settings& settings,
                          core::time_point now);

 private:
  /// Pause after a probe that was refused.
  static constexpr core::milliseconds kRefusedPause{100};

  bool DelaysCallers() const {
    return reason_ == ejection_reason::kSlow ||
           reason_ == ejection_reason::kHanging;
  }
  void ScheduleProbe(const balancing_settings& settings, core::time_point now);

  bool ejected_ = false;
  ejection_reason reason_ = ejection_reason::kFailing;
  core::time_point ejected_at_;
  core::time_point returned_at_;
  core::time_point slow_start_at_;
  core::time_point probe_at_;
  core::time_point last_probe_;
  bool probing_ = false;
  int good_probes_ = 0;
  int doublings_ = 0;
  int other_reads_ = 0;
};

}  // namespace plantaintiller::balancing
