#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "plantaintiller/accounts/account_limit.h"
#include "plantaintiller/accounts/limiter_settings.h"
#include "plantaintiller/accounts/usage_report.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::accounts {

/// The other instances that admit operations, and which of them are silent.
class peer_table {
 public:
  /// What a report says about its sender.
  enum class sender : std::uint8_t {
    /// The report is known or older than one that is.
    kOutdated,
    kSame,
    /// The sender is new or has restarted: its counters begin again.
    kStarted,
    kLeft,
  };

  /// @param settings must outlive the table.
  peer_table(const limiter_settings& settings, core::time_point now)
      : settings_(settings), urgent_until_(now), urgent_since_(now) {}

  sender OnReport(const usage_report& report, core::time_point now);
  void OnZone(const zone_liveness& zone, core::time_point now);
  /// Begins or prolongs the time in which all report often.
  void SetUrgent(core::time_point now);
  bool IsUrgent(core::time_point now) const { return now < urgent_until_; }
  /// Evaluates the phases. @return the instances that are forgotten now.
  std::vector<std::uint64_t> Evaluate(core::time_point now);
  /// Phases as of the last evaluation.
  const std::vector<peer_state>& States() const { return states_; }
  std::size_t Silent() const;
  /// @return the silent instances of a zone.
  std::vector<std::uint64_t> SilentInZone(std::uint32_t zone,
                                          core::time_point now) const;

 private:
  struct peer {
    std::uint32_t zone = 0;
    std::uint32_t incarnation = 0;
    std::uint32_t sequence = 0;
    core::time_point heard_at;
    /// Whether the relays of its zone report that it is silent.
    bool silent_in_zone = false;
  };
  peer_phase PhaseOf(const peer& each, core::time_point now) const;

  const limiter_settings& settings_;
  std::map<std::uint64_t, peer> peers_;
  std::vector<peer_state> states_;
  core::time_point urgent_until_;
  core::time_point urgent_since_;
};

}  // namespace plantaintiller::accounts
