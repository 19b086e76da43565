#include "plantaintiller/gateway/caller_session.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "plantaintiller/gateway/refusal_report.h"

namespace plantaintiller::gateway {

namespace asio = boost::asio;
using boost::system::error_code;

caller_session::caller_session(asio::io_context& context,
                               caller_environment& environment,
                               sessions::session_channel& channel)
    : context_(context),
      timer_(context),
      environment_(environment),
      channel_(&channel),
      engine_(*this, environment.SessionSettings()) {}

void caller_session::Start(const std::string& database,
                           const accounts::caller_identity& identity) {
  sessions::caller_message message;
  message.kind = sessions::caller_message::message_kind::kStart;
  message.database = database;
  message.identity = identity;
  engine_.OnMessage(message);
}

void caller_session::OnBytes(std::string_view bytes) {
  input_ += bytes;
  ProcessInput();
}

void caller_session::ProcessInput() {
  if (processing_input_) {
    return;
  }
  processing_input_ = true;
  while (channel_ != nullptr && !closing_ && engine_.IsIdle()) {
    std::optional<sessions::caller_message> message =
        environment_.Callers().Take(input_);
    if (!message.has_value()) {
      break;
    }
    if (message->kind == sessions::caller_message::message_kind::kTerminate) {
      input_.clear();
    }
    engine_.OnMessage(*message);
  }
  processing_input_ = false;
  if (closing_when_idle_ && !IsBusy()) {
    EndIdle(sessions::failure_code::kBusy, kShutdownReason);
  }
}

void caller_session::CloseWhenIdle() {
  closing_when_idle_ = true;
  if (!IsBusy()) {
    EndIdle(sessions::failure_code::kBusy, kShutdownReason);
  }
}

void caller_session::EndIdle(sessions::failure_code code,
                             std::string_view reason) {
  if (closing_ || channel_ == nullptr) {
    return;
  }
  sessions::session_ending ending(environment_.Callers(), code, reason);
  RefuseInput(ending);
  channel_->EndIdle(std::move(ending));
}

void caller_session::Acquire(const sessions::connection_requirements& need) {
  pool_ = environment_.Pool(need.group);
  if (pool_ != nullptr) {
    pool_->Acquire(need, *this);
  }
}

void caller_session::CancelAcquire() {
  if (pool_ != nullptr) {
    pool_->Cancel(*this);
    pool_ = nullptr;
  }
}

void caller_session::OnConnection(sessions::server_connection& connection) {
  const auto self = shared_from_this();
  acquired_from_ = std::exchange(pool_, nullptr);
  engine_.OnConnection(connection);
  ProcessInput();
}

bool caller_session::AcquirePermit(sessions::server_connection& connection) {
  return acquired_from_->AcquirePermit(connection, *this);
}

void caller_session::CancelPermit(sessions::server_connection& connection) {
  acquired_from_->CancelPermit(connection);
}

void caller_session::ReleasePermit(sessions::server_connection& connection,
                                   bool sample_latency) {
  acquired_from_->ReleasePermit(connection, sample_latency);
}

void caller_session::OnPermit() {
  const auto self = shared_from_this();
  engine_.OnPermit();
  ProcessInput();
}

void caller_session::OnLeadershipChecked(
    replication::leadership_result result) {
  const auto self = shared_from_this();
  if (replication::leadership_check_listener* listener =
          std::exchange(check_listener_, nullptr)) {
    listener->OnLeadershipChecked(result);
  }
  ProcessInput();
}

void caller_session::Reply(const std::string& bytes) {
  if (channel_ == nullptr) {
    return;
  }
  channel_->Send(bytes);
  if (!processing_input_) {
    // After the answer the next request may start, or a session that is to
    // close when idle may close.
    asio::post(context_, [self = shared_from_this()] { self->ProcessInput(); });
  }
}

void caller_session::Close() {
  if (closing_ || channel_ == nullptr) {
    return;
  }
  sessions::session_ending ending(
      environment_.Callers(), sessions::failure_code::kBusy, "session_ended");
  RefuseInput(ending);
  channel_->Finish();
}

void caller_session::RefuseInput(sessions::session_ending& ending) {
  closing_ = true;
  const std::string refusals = ending.Refuse(input_);
  if (!refusals.empty()) {
    ReportRefusals(environment_, engine_.Database(), ending);
    channel_->Send(refusals);
  }
  // Otherwise the caller's instance would answer the last request once more as
  // lost.
  input_.clear();
}

void caller_session::SetTimer(core::time_point when) {
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && self->channel_ != nullptr &&
        self->timer_.expiry() <= core::clock::now()) {
      self->engine_.OnTimer();
      self->ProcessInput();
    }
  });
}

void caller_session::ClearTimer() {
  timer_.cancel();
}

void caller_session::LogRequest(const sessions::request_log_entry& note) {
  log_line(environment_.Log(), "router", note.event)
      .With("request", note.request)
      .With("database", note.database)
      .With("group", note.group)
      .With("server", note.server)
      .With("detail", note.detail)
      .With("config", static_cast<std::int64_t>(note.version))
      .With("age_us",
            std::chrono::duration_cast<std::chrono::microseconds>(note.age)
                .count());
}

void caller_session::OnCallerDisconnected() {
  if (channel_ == nullptr) {
    return;
  }
  channel_ = nullptr;
  CancelAcquire();
  engine_.OnCallerDisconnected();
  timer_.cancel();
}

}  // namespace plantaintiller::gateway
