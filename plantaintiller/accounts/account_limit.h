#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "plantaintiller/accounts/limiter_settings.h"
#include "plantaintiller/accounts/usage_report.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::accounts {

/// How far another instance's reports can be relied on.
enum class peer_phase : std::uint8_t {
  /// Heard from: its reported demand is used.
  kHeard,
  /// Not heard from since reports became urgent: may have begun to use its part
  /// 1/N.
  kUnconfirmed,
  /// Silent: assumed to go on at its last share, and to take 1/N of what nobody
  /// used.
  kSilent,
  /// Silent for long: assumed to use 1/N of the limit.
  kStatic,
};

/// Another instance, as of the last evaluation.
struct peer_state {
  std::uint64_t instance = 0;
  peer_phase phase = peer_phase::kHeard;
  core::time_point heard_at;
};

/// Limit of one account, as seen by one instance.
///
/// The instance keeps an estimate of the one token bucket that the account has
/// over all instances. Own operations are subtracted at once, those of others
/// by an assumed rate that their counters correct. While more than half of the
/// tokens are left, or demand is below the rate, any instance may take them;
/// otherwise each is limited to its share by demand.
class account_limit {
 public:
  /// @param settings must outlive the object.
  /// @param rate operations a second. @param burst size of the bucket.
  account_limit(const limiter_settings& settings,
                double rate,
                double burst,
                core::time_point now);

  /// Called when this instance admits its first operation after a time in which
  /// it got no reports, so that its tokens may be in use elsewhere.
  void OnActivated(core::time_point now);
  /// Changes the limit; the estimate of the tokens is kept.
  void Configure(double rate, double burst, core::time_point now);
  /// Counts an operation if it is allowed. @return as
  /// `operation_limiter::Admit`.
  std::optional<core::duration> Admit(core::time_point now);
  /// Corrects the estimate by a report of another instance.
  void OnUsage(std::uint64_t instance,
               const account_usage& usage,
               core::time_point now);
  /// Called when the machine has been suspended while the clock stood still.
  void OnSuspension(core::time_point now);
  /// Drops the counters of an instance that restarted or is gone.
  void Forget(std::uint64_t instance) { peers_.erase(instance); }
  /// Evaluates the rates at which others are assumed to use tokens.
  /// @param peers all other instances that admit operations.
  /// @param instances assumed number of instances with this one, at least one
  /// more than `peers`.
  void Evaluate(const std::vector<peer_state>& peers,
                std::size_t instances,
                core::time_point now);

  /// Whether the account is so close to its limit that reports must be quick.
  bool IsUrgent() const;
  /// Whether this instance has had demand lately.
  bool HasDemand(core::time_point now) const;
  /// Whether the use by this instance should be reported now.
  /// @param calm whether accounts that are far from their limit are due.
  bool IsReportDue(bool calm, core::time_point now) const;
  /// @return the use by this instance without the name's hash; counts as
  /// reported.
  account_usage Report(core::time_point now);

  std::uint64_t Admitted() const { return admitted_; }
  std::uint64_t Refused() const { return refused_; }
  /// Estimate of the tokens left over all instances.
  double Tokens() const { return tokens_; }

 private:
  struct peer_usage {
    bool counted = false;
    /// Whether the counter is older than a suspension of this machine.
    bool is_outdated = false;
    std::uint16_t admitted = 0;
    double demand = 0;
    /// Demand by which the rate is shared.
    double weighed_demand = 0;
    /// Assumed operations a second.
    double rate = 0;
    /// Operations assumed since the last report.
    double assumed = 0;
    peer_phase phase = peer_phase::kHeard;
  };

  /// Sets the assumed rate of an instance that is silent. @param unused part of
  /// the rate that nobody used.
  void OnSilent(peer_usage& peer,
                const peer_state& state,
                double unused,
                core::time_point now);
  void Advance(core::time_point now);
  double Capacity() const;
  double OwnCapacity() const;
  double DemandAt(core::time_point now) const;
  double ReportedDemandAt(core::time_point now) const;
  double FreeOperations() const;
  double MostDebt() const;
  double InitialTokens() const;
  double Tolerance() const;

  const limiter_settings& settings_;
  double rate_;
  double burst_;
  std::map<std::uint64_t, peer_usage> peers_;
  double tokens_;
  /// Tokens of this instance's own share.
  double own_tokens_ = 1;
  double instances_ = 1;
  /// Part of the instances that are not silent.
  double heard_part_ = 1;
  /// Rate that the others leave for this instance.
  double own_rate_;
  /// This instance's part of the demand.
  double weight_ = 1;
  /// Whether demand is above the rate.
  bool is_contended_ = false;
  /// Whether all instances that are not silent were heard from since reports
  /// became urgent.
  bool is_confirmed_ = true;
  /// Whether there may be instances that are not known yet.
  bool is_joining_ = false;
  core::time_point advanced_at_;
  core::time_point evaluated_at_;
  double demand_ = 0;
  core::time_point demand_at_;
  std::uint64_t admitted_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t reported_admitted_ = 0;
  double reported_demand_ = 0;
  core::time_point reported_at_;
  /// Whether the last change was reported once only.
  bool repeat_ = false;
};

}  // namespace plantaintiller::accounts
