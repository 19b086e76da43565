#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::balancing {

/// Parameters of the choice of servers. The defaults are chosen for servers
/// with 3 to 5 slots and reads of 20 to 40 ms.
struct balancing_settings {
  /// Assumed time of a read at a server while none was measured.
  core::milliseconds initial_read{25};
  /// Extra cost of a server in another zone or another region: bytes over these
  /// distances cost money and share a link.
  core::milliseconds other_zone_cost{6};
  core::milliseconds other_region_cost{24};
  /// Reads at the leader occupy slots that writes need. With 12 ms, the only
  /// server of a region had 1.35 times the mean load in the model when it led;
  /// with 20 ms more reads than needed went to the other region.
  core::milliseconds leader_cost{18};
  /// Opening a connection occupies a slot for about this long.
  core::milliseconds connect_cost{12};
  /// Latency above this multiple of the group's counts as load. Below it,
  /// differences are mostly the random run times of statements.
  double load_ratio = 1.5;

  /// A server is failing if at least this share of its recent requests failed,
  /// and twice the share of the others.
  double failing_share = 0.25;
  /// Failures, decayed over time, that are needed to judge a share.
  double min_failures = 2.5;
  /// Failures in a row that eject a server, whatever the share.
  int failures_in_row = 3;
  /// A read is slow if it took longer than this multiple of the group's latency
  /// plus the margin.
  double slow_ratio = 3.0;
  core::milliseconds slow_margin{30};
  /// Slow reads in a row that eject a server.
  int slow_in_row = 2;
  /// Two requests without any answer for this long, or one for twice as long,
  /// mean that the server hangs.
  core::milliseconds hang_limit{300};
  /// No server is ejected as slow for this time after another one refused a
  /// statement with a full queue: the group is overloaded then.
  core::milliseconds overload_memory{500};

  /// Whether outliers are ejected; false only as an injected defect.
  bool ejects = true;
  /// Time until the first probe. It is shorter where a failed probe is repeated
  /// at another server at once, and longer where it delays a caller.
  core::milliseconds first_probe_failing{1000};
  core::milliseconds first_probe_slow{2000};
  /// The time doubles with each failed probe and each further ejection, up to
  /// this number of times.
  int max_doublings = 3;
  /// A server that was not ejected for this long starts again without
  /// doublings.
  core::milliseconds forget_ejections{30000};
  /// Reads of the group between two probes that may delay a caller: they stay
  /// under 1% of the reads, so that p99 does not show them.
  int reads_per_slow_probe = 150;
  /// Such a probe is sent after this time also with fewer reads.
  core::milliseconds max_probe_pause{15000};
  /// Successful probes in a row after which a server returns. A server that
  /// fails 45% of its requests passes one time in eleven.
  int probes_to_return = 4;
  /// Time in which the share of a new or returned server rises to the usual
  /// one; zero only as an injected defect.
  core::milliseconds slow_start{2000};
};

}  // namespace plantaintiller::balancing
