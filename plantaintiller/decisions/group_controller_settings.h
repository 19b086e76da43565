#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::decisions {

/// Patience of the decisions about one database's group record.
struct group_controller_settings {
  /// Silence after which a server counts as failed.
  core::milliseconds failure_timeout{900};
  /// The same for a server whose machine refuses connections: its process is
  /// gone, which is not a guess.
  core::milliseconds connection_refused_timeout{200};
  /// Added per rank, so that one instance usually proposes first.
  core::milliseconds rank_delay{150};
  /// How long a confirming server may hold up answers before it is taken out.
  core::milliseconds confirmation_timeout{800};
  /// How long a server must keep up before it joins the confirming set.
  core::milliseconds join_delay{1500};
  /// Age of its data, as measured here, that a joining server may have; well
  /// below `confirmation_timeout`, or it would be taken out again.
  core::milliseconds max_join_age{400};
  /// Delay before an unanswered order or row access is repeated.
  core::milliseconds retry_delay{200};
  /// Longest delay between tries while the platform is unavailable.
  core::milliseconds max_retry_delay{2000};
};

}  // namespace plantaintiller::decisions
