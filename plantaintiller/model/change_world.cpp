#include "plantaintiller/model/change_world.h"

#include "plantaintiller/model/change_simulation.h"

namespace plantaintiller::model {

change_world_result SimulatePrimaryChanges(
    const change_world_settings& settings,
    std::uint64_t seed) {
  return change_simulation(settings, seed).Run();
}

}  // namespace plantaintiller::model
