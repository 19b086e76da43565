#include "plantaintiller/model/fake_platform.h"

#include <utility>

namespace plantaintiller::model {

namespace {
constexpr core::duration kServiceTime = std::chrono::milliseconds(4);
constexpr core::duration kTimeout = std::chrono::milliseconds(500);
}  // namespace

fake_platform::fake_platform(event_queue& queue,
                             network& net,
                             std::uint64_t seed)
    : queue_(queue), net_(net), random_(seed) {}

core::group_record fake_platform::Record(core::database_id database) const {
  const auto found = records_.find(database);
  return found == records_.end() ? core::group_record() : found->second;
}

void fake_platform::Call(node_id from,
                         std::function<std::function<void()>()> execute,
                         const std::function<void(bool sent)>& on_failure) {
  // The client's time-out handles lost answers, slow calls and cut links alike.
  const auto completed = std::make_shared<bool>(false);
  const auto sent = std::make_shared<bool>(false);
  net_.ScheduleAfter(from, kTimeout, [completed, sent, on_failure] {
    if (!std::exchange(*completed, true)) {
      on_failure(*sent);
    }
  });
  *sent = !down;
  net_.Send(from, node_id::Platform(),
            [this, from, completed, on_failure, execute = std::move(execute)] {
              queue_.ScheduleAfter(
                  kServiceTime + extra_delay,
                  [this, from, completed, on_failure, execute] {
                    if (down) {
                      return;
                    }
                    calls += 1;
                    const std::function<void()> answer = execute();
                    std::uniform_real_distribution<double> draw(0.0, 1.0);
                    if (draw(random_) < answer_loss_probability) {
                      return;
                    }
                    net_.Send(node_id::Platform(), from, [completed, answer] {
                      if (!std::exchange(*completed, true)) {
                        answer();
                      }
                    });
                  });
            });
}

void fake_platform::ReadRecord(
    node_id from,
    core::database_id database,
    const std::function<void(bool, std::optional<core::group_record>)>& done) {
  Call(
      from,
      [this, database, done]() -> std::function<void()> {
        const auto found = records_.find(database);
        const std::optional<core::group_record> row =
            found == records_.end() ? std::nullopt
                                    : std::optional(found->second);
        return [done, row] { done(true, row); };
      },
      [done](bool) { done(false, std::nullopt); });
}

void fake_platform::CompareAndSetRecord(
    node_id from,
    core::database_id database,
    const core::group_record& record,
    const std::function<void(decisions::compare_and_set_status,
                             std::optional<core::group_record>)>& done) {
  using decisions::compare_and_set_status;
  Call(
      from,
      [this, database, record, done]() -> std::function<void()> {
        core::group_record& row = records_[database];
        const bool applied = row.version == record.version;
        if (applied) {
          row = record;
          row.version += 1;
        }
        return [done, applied, row] {
          done(applied ? compare_and_set_status::kApplied
                       : compare_and_set_status::kConflict,
               row);
        };
      },
      [done](bool sent) {
        done(sent ? compare_and_set_status::kUnknown
                  : compare_and_set_status::kUnavailable,
             std::nullopt);
      });
}

void fake_platform::ReadConfiguration(
    node_id from,
    const std::function<void(std::shared_ptr<const core::configuration>)>&
        done) {
  Call(
      from,
      [this, done]() -> std::function<void()> {
        return [done, current = configuration_] { done(current); };
      },
      [](bool) {});
}

void fake_platform::ReadInstances(
    node_id from,
    const std::function<void(std::vector<core::instance_entry>)>& done) {
  Call(
      from,
      [this, done]() -> std::function<void()> {
        return [done, list = instances_] { done(list); };
      },
      [](bool) {});
}

bool fake_platform::Publish(std::uint64_t base_version,
                            core::configuration configuration) {
  if (down || configuration_->version != base_version) {
    return false;
  }
  configuration.version = base_version + 1;
  configuration_ =
      std::make_shared<const core::configuration>(std::move(configuration));
  return true;
}

void fake_platform::SetInstances(std::vector<core::instance_entry> instances) {
  queue_.ScheduleAfter(
      list_lag, [this, list = std::move(instances)] { instances_ = list; });
}

}  // namespace plantaintiller::model
