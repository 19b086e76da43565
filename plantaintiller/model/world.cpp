#include "plantaintiller/model/world.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace plantaintiller::model {

using core::milliseconds;

namespace {

constexpr milliseconds kWarmUp{3000};
constexpr milliseconds kMeanFaultInterval{500};
/// Time at the end of the run in which every database must accept a write.
constexpr milliseconds kAvailabilityCheckTime{3000};
/// Time that an instance may take from its start until it serves.
constexpr milliseconds kInstanceStartTime{3000};

}  // namespace

world::world(const world_settings& settings, std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      net_(queue_, settings_.latencies, seed + 1),
      checker_(settings_.decider.defects),
      platform_(queue_, net_, seed + 2) {
  net_.delay_probability = settings_.delay_probability;
  net_.AddProcess(node_id::Platform(), settings_.zones[0].name + "-platform",
                  settings_.zones[0].region);
  MakeServers();
  MakeInstances();
  MakeSessions(seed + 3);
  checker_.replica_has_writes = [this](
                                    core::database_id database,
                                    const std::vector<request_number>& needed) {
    return ReplicaHasWrites(database, needed);
  };
}

bool world::ReplicaHasWrites(core::database_id database,
                             const std::vector<request_number>& needed) const {
  for (const auto& [id, server] : servers_) {
    const bool replica =
        id.database == database && !server->Log().State().is_primary &&
        net_.IsAlive(server->Node()) && !net_.IsFrozen(server->Node());
    if (!replica) {
      continue;
    }
    std::vector<request_number> held = server->Writes();
    std::ranges::sort(held);
    const bool holds = std::ranges::all_of(needed, [&](request_number write) {
      return std::ranges::binary_search(held, write);
    });
    if (holds) {
      return true;
    }
  }
  return false;
}

world::~world() = default;

core::configuration world::MakeConfiguration() const {
  core::configuration generated;
  generated.deployment = "model";
  for (const zone_settings& zone : settings_.zones) {
    generated.zones.push_back(zone.name);
  }
  for (int number = 1; number <= settings_.databases; ++number) {
    core::database_settings database;
    database.id = {static_cast<std::uint32_t>(number)};
    database.name = "database-" + std::to_string(number);
    database.connections = settings_.connections;
    for (int slot = 0; slot < settings_.slots; ++slot) {
      const std::size_t zone =
          static_cast<std::size_t>(number + slot) % settings_.zones.size();
      core::backend_server_settings server;
      server.zone = core::ZoneIdOf(settings_.zones[zone].name);
      database.servers.push_back(std::move(server));
    }
    generated.databases.push_back(std::move(database));
  }
  return generated;
}

void world::MakeServers() {
  platform_.Publish(0, MakeConfiguration());
  for (const core::database_settings& database :
       platform_.Published().databases) {
    for (core::slot_number slot = 0; slot < database.Slots(); ++slot) {
      const core::backend_server_id id{database.id, slot};
      const std::size_t zone =
          (database.id.value + slot) % settings_.zones.size();
      net_.AddProcess(node_id::Server(id), settings_.zones[zone].name,
                      settings_.zones[zone].region);
      auto server = std::make_unique<fake_server>(
          id, static_cast<std::size_t>(settings_.connections), queue_, net_,
          checker_, [this, id](core::slot_number other) -> fake_server& {
            return *servers_.at({id.database, other});
          });
      server->replication_lag = settings_.replication_lag;
      servers_[id] = std::move(server);
    }
  }
}

void world::MakeInstances() {
  std::vector<core::instance_entry> list;
  std::uint32_t number = 0;
  for (const zone_settings& zone : settings_.zones) {
    for (int n = 0; n < zone.instances; ++n) {
      number += 1;
      decisions::instance_decider_settings decider = settings_.decider;
      decider.self = {number};
      decider.zone = core::ZoneIdOf(zone.name);
      net_.AddProcess(node_id::Instance(decider.self), zone.name, zone.region);
      core::instance_entry entry;
      entry.id = decider.self;
      entry.zone = decider.zone;
      list.push_back(std::move(entry));
      instances_.push_back(std::make_unique<model_instance>(
          decider,
          instance_environment{queue_, net_, platform_, checker_,
                               [this](core::backend_server_id id)
                                   -> fake_server& { return *servers_.at(id); },
                               [this](core::instance_id id) -> model_instance& {
                                 return *instances_[id.value - 1];
                               },
                               settings_.connect_time, decision_observer_},
          random_()));
    }
  }
  platform_.list_lag = milliseconds(0);
  platform_.SetInstances(std::move(list));
}

void world::MakeSessions(std::uint64_t seed) {
  for (int n = 0; n < settings_.load.sessions; ++n) {
    const auto number = static_cast<std::uint32_t>(n);
    net_.AddProcess(node_id::Caller(number), "callers", "callers");
    sessions_.push_back(std::make_unique<model_session>(
        number,
        session_environment{queue_, net_, checker_, instances_, settings_.load,
                            settings_.databases, last_request_},
        counts_, seed + number));
  }
}

void world::StartProcesses() {
  queue_.RunUntil(queue_.Now() + milliseconds(1));
  for (const auto& instance : instances_) {
    instance->Start();
  }
}

void world::StartSessions(core::time_point end) {
  for (const auto& session : sessions_) {
    session->Start(end);
  }
}

void world::RunFor(core::duration span) {
  queue_.RunUntil(queue_.Now() + span);
}

void world::Run() {
  StartProcesses();
  RunFor(kWarmUp);
  const core::time_point started = queue_.Now();
  faults_end_ = started + settings_.fault_injection_time;
  const core::time_point end = faults_end_ + settings_.fault_free_time;
  StartSessions(end - kAvailabilityCheckTime);
  if (settings_.inject_faults) {
    ScheduleFault();
  }
  queue_.RunUntil(faults_end_);
  ClearAllFaults();
  queue_.RunUntil(end - kAvailabilityCheckTime);
  CheckAvailability();
  queue_.RunUntil(end);
}

void world::ScheduleFault() {
  queue_.ScheduleAfter(RandomDuration(milliseconds(0), 2 * kMeanFaultInterval),
                       [this] {
                         if (queue_.Now() < faults_end_) {
                           InjectFault();
                           ScheduleFault();
                         }
                       });
}

bool world::DrawWithProbability(double probability) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_) <
         probability;
}

core::duration world::RandomDuration(milliseconds shortest,
                                     milliseconds longest) {
  std::uniform_int_distribution<std::int64_t> span(shortest.count(),
                                                   longest.count());
  return milliseconds(span(random_));
}

core::backend_server_id world::RandomServer() {
  auto found = servers_.begin();
  std::advance(found, static_cast<std::ptrdiff_t>(random_() % servers_.size()));
  return found->first;
}

void world::LogFault(std::string text) {
  const auto at = core::ToMilliseconds(queue_.Now().time_since_epoch());
  fault_log_.push_back(std::to_string(at.count()) + " ms: " + std::move(text));
}

void world::InjectFault() {
  switch (random_() % 5) {
    case 0:
      InjectInstanceFault();
      break;
    case 1:
      InjectServerFault();
      break;
    case 2:
      InjectNetworkFault();
      break;
    case 3:
      InjectPlatformFault();
      break;
    default:
      InjectConfigurationFault();
      break;
  }
}

void world::KillInstance(std::size_t number) {
  model_instance& instance = *instances_[number];
  net_.Kill(instance.Node());
  instance.OnKilled();
  for (const auto& [id, server] : servers_) {
    server->OnInstanceDied({static_cast<std::uint32_t>(number + 1)});
  }
}

void world::RestartInstance(std::size_t number) {
  model_instance& instance = *instances_[number];
  if (net_.IsAlive(instance.Node())) {
    return;
  }
  for (const auto& [id, server] : servers_) {
    server->OnInstanceDied({static_cast<std::uint32_t>(number + 1)});
  }
  net_.Restart(instance.Node());
  instance.Start();
}

void world::InjectInstanceFault() {
  const std::size_t number = random_() % instances_.size();
  model_instance& instance = *instances_[number];
  if (!net_.IsAlive(instance.Node()) || net_.IsFrozen(instance.Node())) {
    return;
  }
  const std::string target = "instance " + std::to_string(number + 1);
  switch (random_() % 4) {
    case 0:
      LogFault("kill " + target);
      KillInstance(number);
      queue_.ScheduleAfter(
          RandomDuration(milliseconds(300), milliseconds(2000)),
          [this, number] { RestartInstance(number); });
      break;
    case 1:
      LogFault("freeze " + target);
      net_.Freeze(instance.Node());
      queue_.ScheduleAfter(
          RandomDuration(milliseconds(200), milliseconds(5000)),
          [this, &instance] { net_.Resume(instance.Node()); });
      break;
    case 2:
      LogFault("drain " + target);
      instance.Drain();
      queue_.ScheduleAfter(milliseconds(6000),
                           [this, number] { RestartInstance(number); });
      break;
    default:
      LogFault("silence connections of " + target);
      instance.SilenceConnections();
      break;
  }
}

void world::KillServer(core::backend_server_id id) {
  net_.Kill(node_id::Server(id));
  servers_.at(id)->OnKilled();
}

void world::RestartServer(core::backend_server_id id) {
  if (!net_.IsAlive(node_id::Server(id))) {
    net_.Restart(node_id::Server(id));
    servers_.at(id)->OnRestarted();
  }
}

void world::InjectServerFault() {
  const core::backend_server_id id = RandomServer();
  const node_id node = node_id::Server(id);
  if (!net_.IsAlive(node) || net_.IsFrozen(node)) {
    return;
  }
  const std::string target = "server " + std::to_string(id.database.value) +
                             "/" + std::to_string(id.slot);
  switch (random_() % 3) {
    case 0:
      LogFault("kill " + target);
      KillServer(id);
      queue_.ScheduleAfter(
          RandomDuration(milliseconds(500), milliseconds(4000)),
          [this, id] { RestartServer(id); });
      break;
    case 1:
      LogFault("freeze " + target);
      net_.Freeze(node);
      queue_.ScheduleAfter(
          RandomDuration(milliseconds(200), milliseconds(4000)),
          [this, node] { net_.Resume(node); });
      break;
    default: {
      LogFault("slow replication to " + target);
      servers_.at(id)->replication_lag =
          RandomDuration(milliseconds(50), milliseconds(1500));
      queue_.ScheduleAfter(
          RandomDuration(milliseconds(500), milliseconds(3000)), [this, id] {
            servers_.at(id)->replication_lag = settings_.replication_lag;
          });
      break;
    }
  }
}

void world::InjectNetworkFault() {
  if (DrawWithProbability(0.5)) {
    CutZones();
  } else {
    CutNodes();
  }
}

void world::CutZones() {
  const std::size_t zones = settings_.zones.size();
  // The platform has its own zone so that it can be cut off from every zone.
  std::vector<std::string> names;
  for (const zone_settings& zone : settings_.zones) {
    names.push_back(zone.name);
  }
  names.push_back(settings_.zones[0].name + "-platform");
  const std::string from = names[random_() % zones];
  const std::string to = names[random_() % names.size()];
  const bool both_ways = DrawWithProbability(0.6);
  LogFault("cut " + from + " from " + to + (both_ways ? "" : ", one way"));
  net_.SetZoneCut(from, to, true);
  if (both_ways) {
    net_.SetZoneCut(to, from, true);
  }
  queue_.ScheduleAfter(RandomDuration(milliseconds(300), milliseconds(4000)),
                       [this, from, to] {
                         net_.SetZoneCut(from, to, false);
                         net_.SetZoneCut(to, from, false);
                       });
}

void world::CutNodes() {
  const node_id instance = instances_[random_() % instances_.size()]->Node();
  const node_id server = node_id::Server(RandomServer());
  const bool to_server = DrawWithProbability(0.7);
  const bool from_server = !to_server || DrawWithProbability(0.6);
  LogFault("cut instance " + std::to_string(instance.number) + " and server " +
           std::to_string(server.number) + "/" + std::to_string(server.slot));
  net_.SetNodeCut(instance, server, to_server);
  net_.SetNodeCut(server, instance, from_server);
  queue_.ScheduleAfter(RandomDuration(milliseconds(300), milliseconds(4000)),
                       [this, instance, server] {
                         net_.SetNodeCut(instance, server, false);
                         net_.SetNodeCut(server, instance, false);
                       });
}

void world::InjectPlatformFault() {
  const core::duration span =
      RandomDuration(milliseconds(300), milliseconds(4000));
  switch (random_() % 3) {
    case 0:
      LogFault("platform down");
      platform_.down = true;
      queue_.ScheduleAfter(span, [this] { platform_.down = false; });
      break;
    case 1:
      LogFault("platform slow");
      platform_.extra_delay =
          RandomDuration(milliseconds(50), milliseconds(600));
      queue_.ScheduleAfter(span,
                           [this] { platform_.extra_delay = milliseconds(0); });
      break;
    default:
      LogFault("platform loses answers");
      platform_.answer_loss_probability = 0.5;
      queue_.ScheduleAfter(span,
                           [this] { platform_.answer_loss_probability = 0.0; });
      break;
  }
}

void world::InjectConfigurationFault() {
  // Two operators change the same version; only one change may be accepted.
  const core::configuration base = platform_.Published();
  const core::backend_server_id id = RandomServer();
  core::configuration first = base;
  core::configuration second = base;
  auto& server = first.databases[id.database.value - 1].servers[id.slot];
  server.leaving = !server.leaving;
  second.databases[0].connections = settings_.connections;
  LogFault("two operators change version " + std::to_string(base.version));
  const bool first_accepted = platform_.Publish(base.version, std::move(first));
  const bool second_accepted =
      platform_.Publish(base.version, std::move(second));
  if (first_accepted && second_accepted) {
    checker_.ReportViolation(promise::kConfigurationOnlyRises,
                             "two changes of the same version were accepted",
                             queue_.Now());
  }
}

void world::ClearAllFaults() {
  net_.HealAll();
  platform_.down = false;
  platform_.extra_delay = milliseconds(0);
  platform_.answer_loss_probability = 0.0;
  for (const auto& [id, server] : servers_) {
    server->replication_lag = settings_.replication_lag;
    net_.Resume(node_id::Server(id));
    RestartServer(id);
  }
  for (std::size_t n = 0; n < instances_.size(); ++n) {
    net_.Resume(instances_[n]->Node());
    RestartInstance(n);
  }
  core::configuration original = MakeConfiguration();
  platform_.Publish(platform_.Published().version, std::move(original));
}

void world::CheckAvailability() {
  const std::uint64_t version = platform_.Published().version;
  const auto in_service = [this](const model_instance& instance) {
    return net_.IsAlive(instance.Node()) && !instance.Decider().IsDraining() &&
           queue_.Now() - instance.StartedAt() > kInstanceStartTime;
  };
  for (const auto& instance : instances_) {
    const auto current = instance->Decider().Configuration();
    if (in_service(*instance) &&
        (current == nullptr || current->version != version)) {
      checker_.ReportViolation(
          promise::kConfigurationOnlyRises,
          "an instance does not use the accepted configuration", queue_.Now());
    }
  }
  for (int database = 1; database <= settings_.databases; ++database) {
    for (const auto& instance : instances_) {
      if (!in_service(*instance)) {
        continue;
      }
      core::statement work =
          MakeWrite({static_cast<std::uint32_t>(database)}, milliseconds(2000));
      instance->OnCallerStatement(
          std::move(work),
          [this, &instance, database](const core::statement&,
                                      const core::statement_outcome& outcome) {
            if (!outcome.Succeeded()) {
              checker_.ReportViolation(
                  promise::kServesAfterFaults,
                  "write to database " + std::to_string(database) +
                      " at instance " +
                      std::to_string(instance->Node().number) + ": " +
                      std::string(core::RefusalName(outcome.refusal)),
                  queue_.Now());
            }
          });
    }
  }
}

void world::Isolate(node_id node) {
  std::vector<node_id> others{node_id::Platform()};
  for (const auto& [id, server] : servers_) {
    others.push_back(server->Node());
  }
  for (const auto& instance : instances_) {
    others.push_back(instance->Node());
  }
  for (const node_id& other : others) {
    net_.SetNodeCut(node, other, true);
    net_.SetNodeCut(other, node, true);
  }
}

core::statement world::MakeWrite(core::database_id database,
                                 milliseconds deadline) {
  last_request_ += 1;
  const auto body = std::make_shared<model_body>();
  body->request = last_request_;
  core::statement work;
  work.database = database;
  work.access = core::access_kind::kWrite;
  work.has_key = true;
  work.key = {2, body->request};
  work.deadline = work.arrived + deadline;
  work.body = body;
  return work;
}

core::statement world::MakeRead(core::database_id database,
                                milliseconds max_staleness,
                                milliseconds deadline) {
  last_request_ += 1;
  const auto body = std::make_shared<model_body>();
  body->request = last_request_;
  core::statement work;
  work.database = database;
  work.max_staleness = max_staleness;
  work.priority = max_staleness > milliseconds(0) ? core::request_class::kStale
                                                  : core::request_class::kFresh;
  work.deadline = work.arrived + deadline;
  work.body = body;
  return work;
}

void world::SubmitStatement(std::size_t instance,
                            core::statement work,
                            model_instance::answer_callback done) {
  instances_[instance]->OnCallerStatement(std::move(work), std::move(done));
}

std::uint64_t world::Digest() const {
  std::string text;
  for (const auto& [id, server] : servers_) {
    for (const request_number write : server->Writes()) {
      text += std::to_string(write) + ",";
    }
  }
  text += std::to_string(counts_.requests) + "/" +
          std::to_string(counts_.unknown) + "/" +
          std::to_string(checker_.reads) + "/" +
          std::to_string(checker_.replica_reads) + "/" +
          std::to_string(platform_.calls);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace plantaintiller::model
