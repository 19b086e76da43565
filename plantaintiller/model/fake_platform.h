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

/// Simulates the platform: group records with compare-and-set, the
/// configuration and a delayed list of instances. It can be down, be slow or
/// lose answers.
class fake_platform {
 public:
  fake_platform(event_queue& queue, network& net, std::uint64_t seed);

  /// @name Calls from an instance
  /// `done` runs at the instance. Without an answer in time, calls for records
  /// pass the failure to `done`; the other calls do not run it.
  /// @{
  void ReadRecord(
      node_id from,
      core::database_id database,
      const std::function<void(bool available,
                               std::optional<core::group_record>)>& done);
  void CompareAndSetRecord(
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

  /// Publishes an operator's change of the configuration, by compare-and-set on
  /// the version. @return whether the change was accepted.
  bool Publish(std::uint64_t base_version, core::configuration configuration);
  const core::configuration& Published() const { return *configuration_; }

  /// Sets the list of instances; reads return the new list after `list_lag`.
  void SetInstances(std::vector<core::instance_entry> instances);

  /// Returns the stored record of a database, or an empty record.
  core::group_record Record(core::database_id database) const;

  bool down = false;
  /// Extra time that each call takes.
  core::duration extra_delay{0};
  /// Probability that an answer is lost after its call has taken effect.
  double answer_loss_probability = 0.0;
  core::duration list_lag = std::chrono::milliseconds(1500);
  /// Number of calls that the platform has executed.
  std::uint64_t calls = 0;

 private:
  // Runs `execute` at the platform and the answer that it returns at the
  // instance. Without an answer in time, runs `on_failure` at the instance; it
  // gets whether the platform was up when the call was sent.
  void Call(node_id from,
            std::function<std::function<void()>()> execute,
            const std::function<void(bool sent)>& on_failure);

  event_queue& queue_;
  network& net_;
  std::mt19937_64 random_;
  std::map<core::database_id, core::group_record> records_;
  std::shared_ptr<const core::configuration> configuration_ =
      std::make_shared<const core::configuration>();
  std::vector<core::instance_entry> instances_;
};

}  // namespace plantaintiller::model
