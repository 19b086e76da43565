#pragma once

#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/decisions/group_controller_settings.h"
#include "plantaintiller/decisions/injected_defects.h"
#include "plantaintiller/decisions/membership.h"
#include "plantaintiller/decisions/request_router.h"
#include "plantaintiller/decisions/server_prober.h"
#include "plantaintiller/decisions/statement_executor.h"

namespace plantaintiller::decisions {

/// Settings of an instance_decider.
struct instance_decider_settings {
  core::instance_id self;
  core::zone_id zone;
  group_controller_settings controller;
  membership_settings members;
  executor_settings executor;
  router_settings router;
  prober_settings prober;
  /// Interval between reads of the configuration by the instances that read it
  /// for their availability zone.
  core::milliseconds configuration_interval{1000};
  /// Interval between reads by all other instances, which receive newer
  /// versions from peers in between.
  core::milliseconds backup_configuration_interval{30000};
  /// Interval between reads of the platform's instance list.
  core::milliseconds list_interval{1000};
  /// How long a draining instance keeps serving peers that have not yet
  /// received its heartbeat with the `leaving` flag.
  core::milliseconds drain_notice_period{500};
  /// How long a leaving primary may still receive writes while a successor is
  /// promoted.
  core::milliseconds leaving_grace{2500};
  injected_defects defects;
};

}  // namespace plantaintiller::decisions
