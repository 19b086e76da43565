#pragma once

#include "plantaintiller/core/time.h"

namespace plantaintiller::decisions {

/// Time limits of group_controller.
struct group_controller_settings {
  /// Time without an answer after which a server counts as failed.
  core::milliseconds failure_timeout{900};
  /// The same for a server whose machine refuses connections. This can be
  /// shorter, because a refused connection proves that the server process is
  /// not running.
  core::milliseconds connection_refused_timeout{200};
  /// Delay added per rank, so that usually one instance proposes before the
  /// others.
  core::milliseconds rank_delay{150};
  /// How long a confirming server may delay answers before it is removed from
  /// the confirming set.
  core::milliseconds confirmation_timeout{800};
  /// How long a server must keep up before it joins the confirming set.
  core::milliseconds join_delay{1500};
  /// Maximum age of a joining server's data, as estimated by this instance.
  /// Must be well below `confirmation_timeout`, or the server would be removed
  /// again.
  core::milliseconds max_join_age{400};
  /// Delay before an unanswered role command or record access is repeated.
  core::milliseconds retry_delay{200};
  /// Maximum delay between attempts while the platform is unavailable.
  core::milliseconds max_retry_delay{2000};
};

}  // namespace plantaintiller::decisions
