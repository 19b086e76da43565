#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/group_record.h"
#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/model/network.h"

namespace plantaintiller::model {

/// The platform as the decisions meet it: rows with compare-and-set, the
/// configuration, a list of instances that lags, and their failures.
class fake_platform {
 public:
  fake_platform(event_queue& queue, network& net, std::uint64_t seed);

  /// @name Calls of an instance; the answer runs at the instance, or never.
  /// @{
  void ReadRecord(
      node_id from,
      core::database_id database,
      const std::function<void(bool available,
                               std::optional<core::group_record>)>& done);
  void SwapRecord(
      node_id from,
      core::database_id database,
      const core::group_record& record,
      const std::function<void(decisions::compare_and_set_status,
                               std::optional<core::group_record>)>& done);
  void ReadConfiguration(
      node_id from,
      const std::function<void(std::shared_ptr<const core::configuration>)>&
          done);
  void ReadInstances(
      node_id from,
      const std::function<void(std::vector<core::instance_entry>)>& done);
  /// @}

  /// An operator's change, by compare-and-set on the version.
  /// @return whether it was accepted.
  bool Publish(std::uint64_t base_version, core::configuration configuration);
  const core::configuration& Published() const { return *configuration_; }

  /// Changes the list of instances; readers see it after `list_lag`.
  void SetInstances(std::vector<core::instance_entry> instances);

  /// Record as the table has it.
  core::group_record Record(core::database_id database) const;

  bool down = false;
  /// Extra time that each call takes.
  core::duration extra_delay{0};
  /// Chance that an answer is lost after its call has taken effect.
  double answer_loss_probability = 0.0;
  core::duration list_lag = std::chrono::milliseconds(1500);
  /// Calls that reached the platform.
  std::uint64_t calls = 0;

 private:
  // Runs a call at the platform and its answer at the instance.
  void Call(node_id from,
            std::function<std::function<void()>()> effect,
            const std::function<void(bool sent)>& failed);

  event_queue& queue_;
  network& net_;
  std::mt19937_64 random_;
  std::map<core::database_id, core::group_record> records_;
  std::shared_ptr<const core::configuration> configuration_ =
      std::make_shared<const core::configuration>();
  std::vector<core::instance_entry> instances_;
};

}  // namespace plantaintiller::model
