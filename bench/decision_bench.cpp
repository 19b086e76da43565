// Benchmarks for the slopes of docs/CAPACITY.md: time, message counts and
// message sizes of an instance's work, each at three or more input sizes.

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>

#include <boost/json/serialize.hpp>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/backends/attempt_batch.h"
#include "plantaintiller/config/configuration_codec.h"
#include "plantaintiller/core/session_token.h"
#include "plantaintiller/decisions/confirmation_tracker.h"
#include "plantaintiller/decisions/connection_placement.h"
#include "plantaintiller/decisions/instance_decider.h"
#include "plantaintiller/instances/wire_codec.h"
#include "tests/decisions/recording_actions.h"

namespace plantaintiller {

namespace {

using core::milliseconds;
using decisions::instance_decider;

constexpr std::uint32_t kZoneCount = 5;

std::shared_ptr<core::configuration> MakeConfiguration(std::int64_t databases) {
  auto configuration = std::make_shared<core::configuration>();
  configuration->version = 1;
  configuration->deployment = "bench";
  for (std::uint32_t zone = 0; zone < kZoneCount; ++zone) {
    configuration->zones.push_back("zone-" + std::to_string(zone));
  }
  for (std::uint32_t n = 1; n <= databases; ++n) {
    core::database_settings database;
    database.id = {n};
    database.name =
        "service-" + std::to_string(n / 3) + "-database-" + std::to_string(n);
    database.connections = 40;
    for (std::uint32_t slot = 0; slot < 3; ++slot) {
      core::backend_server_settings server;
      server.zone =
          core::ZoneIdOf("zone-" + std::to_string((n + slot) % kZoneCount));
      server.host = "10.0.0.1";
      server.port = 5432;
      database.servers.push_back(server);
    }
    configuration->databases.push_back(std::move(database));
  }
  return configuration;
}

std::vector<core::instance_entry> MakeInstances(std::int64_t count) {
  std::vector<core::instance_entry> list;
  for (std::uint32_t n = 1; n <= count; ++n) {
    core::instance_entry entry;
    entry.id = {n};
    entry.zone = core::ZoneIdOf("zone-" + std::to_string(n % kZoneCount));
    list.push_back(entry);
  }
  return list;
}

/// Counts probes and heartbeats instead of sending them.
class counting_actions : public decisions::recording_actions {
 public:
  void ProbeServer(const decisions::server_probe& probe) override {
    probe_count += 1;
    last_probe = probe;
  }
  void LogDecision(const decisions::decision_log_entry&) override {}
  void SendHeartbeat(core::instance_id,
                     const decisions::heartbeat& beat) override {
    heartbeats += 1;
    report_count = beat.reports.size();
  }
  std::uint64_t probe_count = 0;
  std::size_t report_count = 0;
  decisions::server_probe last_probe;
};

std::unique_ptr<instance_decider> MakeDecider(counting_actions& actions,
                                              std::int64_t instances,
                                              std::int64_t databases) {
  decisions::instance_decider_settings settings;
  settings.self = {1};
  settings.zone = core::ZoneIdOf("zone-1");
  settings.members.list_grace = milliseconds(1000000000);
  auto decider = std::make_unique<instance_decider>(settings, actions, 1);
  const core::time_point now{milliseconds(1000000)};
  decider->OnInstanceList(MakeInstances(instances), now);
  decider->OnTick(now);
  decider->OnConfiguration(MakeConfiguration(databases), now);
  return decider;
}

// Databases and instances grow together, from today's deployment to the
// planned one.
void ControlTick(benchmark::State& state) {
  counting_actions actions;
  const std::int64_t instances = state.range(0);
  auto decider = MakeDecider(actions, instances, state.range(1));
  core::time_point now{milliseconds(1000005)};
  const std::uint64_t probes_before = actions.probe_count;
  const int heartbeats_before = actions.heartbeats;
  std::uint64_t ticks = 0;
  for (auto _ : state) {
    now += milliseconds(5);
    decider->OnTick(now);
    ticks += 1;
  }
  const double seconds = static_cast<double>(ticks) * 0.005;
  state.counters["probes_per_s"] =
      static_cast<double>(actions.probe_count - probes_before) / seconds;
  state.counters["heartbeats_per_s"] =
      static_cast<double>(actions.heartbeats - heartbeats_before) / seconds;
  state.counters["reports"] = static_cast<double>(actions.report_count);
}
BENCHMARK(ControlTick)->Args({8, 9})->Args({190, 360})->Args({1900, 3600});

void PlaceEverything(benchmark::State& state) {
  counting_actions actions;
  auto decider = MakeDecider(actions, state.range(0), state.range(1));
  core::time_point now{milliseconds(1000005)};
  std::uint64_t version = 1;
  for (auto _ : state) {
    state.PauseTiming();
    auto next = MakeConfiguration(state.range(1));
    next->version = ++version;
    state.ResumeTiming();
    decider->OnConfiguration(next, now);
  }
}
BENCHMARK(PlaceEverything)
    ->Args({8, 9})
    ->Args({190, 360})
    ->Args({1900, 3600})
    ->Unit(benchmark::kMillisecond);

void HeartbeatBytes(benchmark::State& state) {
  decisions::heartbeat beat;
  for (std::int64_t n = 0; n < state.range(0); ++n) {
    beat.reports.push_back(
        {{{static_cast<std::uint32_t>(n)}, 1}, milliseconds(20)});
  }
  std::size_t bytes = 0;
  for (auto _ : state) {
    capnp::MallocMessageBuilder message;
    instances::Encode(beat, message.initRoot<instances::wire::Heartbeat>());
    bytes = capnp::computeSerializedSizeInWords(message) * 8;
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(HeartbeatBytes)->Arg(0)->Arg(27)->Arg(270)->Arg(2700);

void ConfigurationBytes(benchmark::State& state) {
  const auto configuration = MakeConfiguration(state.range(0));
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::string text =
        boost::json::serialize(config::ToJson(*configuration));
    bytes = text.size();
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(ConfigurationBytes)
    ->Arg(9)
    ->Arg(360)
    ->Arg(3600)
    ->Unit(benchmark::kMicrosecond);

void ConfigurationParse(benchmark::State& state) {
  const std::string text = boost::json::serialize(
      config::ToJson(*MakeConfiguration(state.range(0))));
  for (auto _ : state) {
    const auto json = config::ParseJson(text);
    benchmark::DoNotOptimize(config::ConfigurationFromJson(json.value()));
  }
}
BENCHMARK(ConfigurationParse)
    ->Arg(9)
    ->Arg(360)
    ->Arg(3600)
    ->Unit(benchmark::kMicrosecond);

void TrackerReport(benchmark::State& state) {
  decisions::confirmation_tracker tracker;
  core::group_record record;
  record.term = 1;
  record.confirming = core::server_set::FirstSlots(
      static_cast<core::slot_number>(state.range(0)));
  tracker.AdoptRecord(record);
  core::time_point now{milliseconds(1000000)};
  std::uint64_t offset = 0;
  for (auto _ : state) {
    now += milliseconds(3);
    offset += 1;
    tracker.OnState(0, {1, {1, offset}, true}, now);
    benchmark::DoNotOptimize(tracker.ProvesFreshness(offset, now));
  }
}
BENCHMARK(TrackerReport)->Arg(1)->Arg(2)->Arg(3);

void TokenBytes(benchmark::State& state) {
  core::session_token token;
  for (std::int64_t n = 0; n < state.range(0); ++n) {
    token.Raise({static_cast<std::uint32_t>(n)}, {3, 12345});
  }
  std::size_t bytes = 0;
  for (auto _ : state) {
    bytes = token.Encode("bench").size();
    benchmark::DoNotOptimize(bytes);
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(TokenBytes)->Arg(1)->Arg(9)->Arg(90);

/// Decides on one locally served statement, with `state.range(0)` others
/// outstanding.
void LocalStatement(benchmark::State& state) {
  counting_actions actions;
  auto decider = MakeDecider(actions, 1, 9);
  core::time_point now{milliseconds(1000005)};
  core::group_record record;
  record.term = 1;
  record.confirming = core::server_set(0b111);
  record.promotable = record.confirming;
  record.version = 1;
  const auto answer_probes = [&] {
    for (core::slot_number slot = 0; slot < 3; ++slot) {
      for (std::uint64_t id = 0; id < 4; ++id) {
        decider->OnProbeAnswer({{1}, slot}, actions.last_probe.id + id - 2,
                               {1, {1, 1}, slot == 0}, now);
      }
    }
  };
  decider->OnTick(now);
  decider->OnGroupRecord({1}, record, now);
  for (int n = 0; n < 200; ++n) {
    now += milliseconds(5);
    decider->OnTick(now);
    answer_probes();
  }
  core::statement read_statement;
  read_statement.database = {1};
  read_statement.max_staleness = milliseconds(5000);
  read_statement.arrived = now;
  read_statement.deadline = now + milliseconds(100000000);
  std::uint64_t ticket = 0;
  core::statement queued_statement = read_statement;
  queued_statement.database = {2};
  for (std::int64_t n = 0; n < state.range(0); ++n) {
    decider->OnCallerStatement(++ticket, queued_statement, now);
  }
  for (auto _ : state) {
    decider->OnCallerStatement(++ticket, read_statement, now);
    if (actions.attempts.empty()) {
      state.SkipWithError("the statement did not start");
      break;
    }
    const decisions::attempt& started = actions.attempts.back();
    decisions::attempt_result result;
    result.id = started.id;
    result.server = started.server;
    result.status = decisions::attempt_status::kDone;
    result.state = {1, {1, 1}, started.server.slot == 0};
    actions.attempts.clear();
    decider->OnAttemptResult(result, now);
    actions.answers.clear();
  }
}
BENCHMARK(LocalStatement)->Arg(0)->Arg(64)->Arg(512);

}  // namespace

}  // namespace plantaintiller

BENCHMARK_MAIN();
