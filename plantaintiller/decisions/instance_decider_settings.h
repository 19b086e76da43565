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

/// Settings of one entry instance's decisions.
struct instance_decider_settings {
  core::instance_id self;
  core::zone_id zone;
  group_controller_settings controller;
  membership_settings members;
  executor_settings executor;
  router_settings router;
  prober_settings prober;
  /// Pause between reads of the configuration by an instance that reads it for
  /// its availability zone.
  core::milliseconds configuration_interval{1000};
  /// The same for all other instances; they learn from peers in between.
  core::milliseconds backup_configuration_interval{30000};
  core::milliseconds list_interval{1000};
  /// How long a draining instance goes on serving peers that do not know yet.
  core::milliseconds drain_notice_period{500};
  /// How long a leaving primary may take writes while a successor is found.
  core::milliseconds leaving_grace{2500};
  injected_defects defects;
};

}  // namespace plantaintiller::decisions
