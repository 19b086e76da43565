#pragma once

#include <cstdint>
#include <optional>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::decisions {

/// Intervals and time limits of probes.
struct prober_settings {
  /// Interval between probes while no answer waits for one.
  core::milliseconds idle_interval{250};
  /// Interval after a failed probe.
  core::milliseconds failure_interval{50};
  /// Minimum interval between probes while answers wait for them.
  core::milliseconds busy_interval{2};
  /// Maximum time that a server may delay its answer to a probe.
  core::milliseconds max_wait{100};
  /// Time without an answer after which a probe counts as lost.
  core::milliseconds timeout{400};
};

/// What the pending answers of this instance require from a server's report.
struct probe_need {
  /// Whether any answer waits for a report.
  bool any = false;
  /// Offset that the server must have reached.
  std::uint64_t offset = 0;
  /// Time at or after which the probe must have been sent.
  core::time_point probed_since = core::time_point::min();
};

/// Decides when to probe one backend server. At most one probe is outstanding,
/// and all waiting answers share it.
class server_prober {
 public:
  server_prober(core::backend_server_id server,
                const prober_settings& settings);

  /// Decides whether to probe now.
  /// @param need requirements of the pending answers;
  /// @param term current term;
  /// @param known_offset last offset that the server reported in that term.
  /// @return the probe to send, if one is due.
  std::optional<server_probe> NextProbe(
      const probe_need& need,
      core::term_number term,
      std::optional<std::uint64_t> known_offset,
      core::time_point now);
  /// Called when a probe was answered. @param id of the probe.
  /// @return when it was sent; nullopt if it is not the outstanding one.
  std::optional<core::time_point> OnAnswer(std::uint64_t id);
  /// Called when a probe failed; the next one is due after `failure_interval`.
  /// @param id of the probe.
  /// @return whether it was the outstanding one.
  bool OnFailure(std::uint64_t id);
  /// Makes the next probe due at once.
  void ProbeImmediately() { probe_immediately_ = true; }

 private:
  core::backend_server_id server_;
  const prober_settings& settings_;
  bool outstanding_ = false;
  bool probe_immediately_ = false;
  bool failed_ = false;
  std::uint64_t last_id_ = 0;
  core::time_point sent_at_;
};

}  // namespace plantaintiller::decisions
