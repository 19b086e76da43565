#pragma once

#include <cstdint>
#include <optional>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::decisions {

/// Cadence of probes.
struct prober_settings {
  /// Pause between probes while nothing waits for one.
  core::milliseconds idle_interval{250};
  /// Pause after a probe that failed.
  core::milliseconds failure_interval{50};
  /// Shortest pause between probes that answers wait for.
  core::milliseconds busy_interval{2};
  /// Longest time that a server may hold a probe back.
  core::milliseconds max_wait{100};
  /// Silence after which a probe counts as lost.
  core::milliseconds timeout{400};
};

/// What answers waiting at this instance need to learn from one server.
struct probe_need {
  /// Whether any answer waits.
  bool any = false;
  /// Offset that the server must have confirmed.
  std::uint64_t offset = 0;
  /// Time after which the server must have been asked.
  core::time_point probed_since = core::time_point::min();
};

/// Decides when to probe one backend server. At most one probe is outstanding,
/// and all waiting answers share it.
class server_prober {
 public:
  server_prober(core::backend_server_id server,
                const prober_settings& settings);

  /// Decides whether to probe now.
  /// @param need of the waiting answers; @param term current term;
  /// @param known_offset last offset that the server reported in that term.
  /// @return the probe to send, if one is due.
  std::optional<server_probe> NextProbe(
      const probe_need& need,
      core::term_number term,
      std::optional<std::uint64_t> known_offset,
      core::time_point now);
  /// A probe was answered. @param id of the probe.
  /// @return when it had been sent; nothing if it is not the outstanding one.
  std::optional<core::time_point> OnAnswer(std::uint64_t id);
  /// A probe failed; the next is due soon. @param id of the probe.
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
