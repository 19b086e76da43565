#include "plantaintiller/backends/backend_duty.h"

#include <glog/logging.h>

#include <string>

#include "plantaintiller/backends/attempt_batch.h"

namespace plantaintiller::backends {

backend_duty::backend_duty(boost::asio::io_context& context,
                           core::channel<event>& events)
    : context_(context), events_(events) {}

backend_duty::~backend_duty() = default;

void backend_duty::Execute(const command& next_command) {
  std::visit([this](const auto& each) { Execute(each); }, next_command);
}

void backend_duty::Send(const event& new_event) {
  // The channel holds more events than there can be commands outstanding.
  CHECK(events_.TrySend(new_event)) << "backends: event ring is full";
}

const core::backend_server_settings* backend_duty::SettingsOf(
    core::backend_server_id server) const {
  const core::database_settings* database =
      configuration_ == nullptr ? nullptr
                                : configuration_->Find(server.database);
  const bool known =
      database != nullptr && server.slot < database->servers.size();
  return known ? &database->servers[server.slot] : nullptr;
}

server_address backend_duty::AddressOf(
    const core::backend_server_settings& settings,
    const char* role) {
  return {settings.host, settings.port, role};
}

void backend_duty::Execute(const attempt_command& attempt) {
  const core::backend_server_settings* settings =
      SettingsOf(attempt.work.server);
  if (settings == nullptr) {
    decisions::attempt_result result;
    result.id = attempt.work.id;
    result.server = attempt.work.server;
    Send(attempt_event{result});
    return;
  }
  std::unique_ptr<connection>& server_connection =
      connections_[{attempt.work.server, attempt.work.connection}];
  if (server_connection == nullptr) {
    server_connection = std::make_unique<connection>(
        context_, AddressOf(*settings, kStatementRole));
  }
  std::vector<batch_step> steps = attempt_batch::Build(attempt.work);
  server_connection->Run(
      steps, [this, work = attempt.work, steps](const batch_result& result) {
        Send(attempt_event{attempt_batch::Interpret(work, steps, result)});
      });
}

void backend_duty::Execute(const close_connection_command& target) {
  connections_.erase({target.server, target.connection});
}

void backend_duty::Execute(const probe_command& probe_request) {
  const core::backend_server_id server = probe_request.probe.server;
  const std::uint64_t id = probe_request.probe.id;
  const core::backend_server_settings* settings = SettingsOf(server);
  if (settings == nullptr) {
    Send(probe_event{server, id, false, false, {}});
    return;
  }
  std::unique_ptr<connection>& server_connection = probe_connections_[server];
  // A connection that is still busy with the previous probe has stopped
  // responding: replace it.
  if (server_connection == nullptr || server_connection->IsBusy()) {
    server_connection = std::make_unique<connection>(
        context_, AddressOf(*settings, kControlRole));
  }
  server_connection->Run(
      {attempt_batch::StateQuery(probe_request.probe.wait_term,
                                 probe_request.probe.wait_offset,
                                 probe_request.probe.max_wait)},
      [this, server, id](const batch_result& result) {
        const std::optional<core::server_state> state =
            result.status == batch_status::kAnswered
                ? attempt_batch::ParseState(result.steps[0])
                : std::nullopt;
        Send(probe_event{server, id, state.has_value(),
                         result.status == batch_status::kRefused,
                         state.value_or(core::server_state())});
      });
}

void backend_duty::Execute(const set_role_command& role_change) {
  const core::backend_server_id server = role_change.role.server;
  const core::backend_server_settings* settings = SettingsOf(server);
  const core::backend_server_settings* primary =
      SettingsOf({server.database, role_change.role.primary});
  if (settings == nullptr || primary == nullptr) {
    return;
  }
  std::unique_ptr<connection>& server_connection = role_connections_[server];
  if (server_connection == nullptr || server_connection->IsBusy()) {
    server_connection = std::make_unique<connection>(
        context_, AddressOf(*settings, kControlRole));
  }
  batch_step step;
  step.sync_after = true;
  step.params = {std::to_string(role_change.role.term)};
  if (role_change.role.primary == server.slot) {
    step.sql = "SELECT * FROM plantaintiller_promote($1)";
  } else {
    step.sql = "SELECT * FROM plantaintiller_follow($1, $2, $3)";
    step.params.emplace_back(primary->host);
    step.params.emplace_back(std::to_string(primary->port));
  }
  server_connection->Run({std::move(step)},
                         [this, server](const batch_result& result) {
                           if (result.status == batch_status::kAnswered) {
                             Send(role_set_event{server});
                           }
                         });
}

void backend_duty::Execute(const configuration_command& update) {
  configuration_ = update.configuration;
}

}  // namespace plantaintiller::backends
