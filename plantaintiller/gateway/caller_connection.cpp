#include "plantaintiller/gateway/caller_connection.h"

#include <array>
#include <chrono>
#include <optional>
#include <utility>

#include "plantaintiller/accounts/key_digest.h"
#include "plantaintiller/accounts/session_access.h"
#include "plantaintiller/gateway/caller_session.h"
#include "plantaintiller/gateway/owner_loss_reply.h"
#include "plantaintiller/gateway/socket_options.h"
#include "plantaintiller/gateway/stream_writer.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadSize = 4096;

class caller_implementation final : public caller_connection,
                                    public sessions::session_channel,
                                    public forwarding::forwarded_listener {
 public:
  caller_implementation(asio::io_context& context,
                        tcp::socket socket,
                        caller_environment& environment)
      : context_(context),
        socket_(std::move(socket)),
        writer_(socket_),
        environment_(environment) {
    writer_.SetHandlers([this] { End(); }, [this] { OnDrained(); });
  }

  void Read();

  // caller_connection
  void CloseWhenIdle() override;
  void RefuseFurtherWork(const char* reason) override;

  // sessions::session_channel
  void Send(const std::string& bytes) override {
    if (!ended_) {
      writer_.Send(bytes, shared_from_this());
      ResumeReading();
    }
  }
  void Finish() override;

  // forwarding::forwarded_listener
  void OnForwardedBytes(const std::string& bytes) override;
  void OnForwardedSessionEnded() override;
  void OnServeLocally() override;

 private:
  std::shared_ptr<caller_implementation> Self() {
    return std::static_pointer_cast<caller_implementation>(shared_from_this());
  }
  void ResumeReading();
  void OnBytes();
  void OnFirstMessage();
  void StartLocalSession();
  /// Whether the caller's key gives access under this instance's configuration,
  /// which may be newer than the owner's.
  bool HasAccess();
  /// Answers the next message of a forwarded session whose caller has no access
  /// any more, and closes the session.
  void RefuseForwarded();
  bool IsInputFull() const;
  /// Logs the requests that arrive after the session was closed and so get no
  /// answer, and drops them.
  void DropInput();
  void OnDrained();
  void End();

  asio::io_context& context_;
  tcp::socket socket_;
  stream_writer writer_;
  caller_environment& environment_;
  /// One of these two is set after the first message.
  std::shared_ptr<caller_session> session_;
  std::shared_ptr<forwarding::forwarded_session> forwarded_;
  std::string database_;
  accounts::session_access access_;
  std::array<char, kReadSize> chunk_{};
  /// Received bytes that are not passed on yet.
  std::string input_;
  bool reading_ = false;
  bool closing_ = false;
  core::time_point closed_at_;
  /// Why the session was closed; a string of static storage.
  const char* close_reason_ = "session_ended";
  bool closing_when_idle_ = false;
  bool ended_ = false;
};

bool caller_implementation::IsInputFull() const {
  if (forwarded_ != nullptr) {
    return forwarded_->Unanswered().size() + input_.size() >
           sessions::kMaxMessageBytes;
  }
  return session_ != nullptr && session_->IsInputFull();
}

void caller_implementation::Read() {
  // Back-pressure on a caller that sends faster than its requests are served.
  if (reading_ || ended_ || IsInputFull()) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = Self()](error_code failed, std::size_t size) {
                            self->reading_ = false;
                            if (failed) {
                              self->End();
                              return;
                            }
                            self->input_.append(self->chunk_.data(), size);
                            self->OnBytes();
                            self->Read();
                          });
}

void caller_implementation::ResumeReading() {
  if (!reading_ && !ended_) {
    asio::post(context_, [self = Self()] { self->Read(); });
  }
}

void caller_implementation::OnBytes() {
  if (closing_) {
    DropInput();
    return;
  }
  if (session_ == nullptr && forwarded_ == nullptr) {
    OnFirstMessage();
  }
  if (input_.empty()) {
    return;
  }
  if (forwarded_ != nullptr && !HasAccess()) {
    if (forwarded_->Unanswered().empty()) {
      RefuseForwarded();
    }
  } else if (forwarded_ != nullptr) {
    forwarded_->Send(std::exchange(input_, {}));
  } else if (session_ != nullptr) {
    session_->OnBytes(std::exchange(input_, {}));
  }
}

void caller_implementation::DropInput() {
  while (const auto message = environment_.Callers().Take(input_)) {
    if (message->kind == sessions::caller_message::message_kind::kTerminate) {
      break;
    }
    environment_.Metrics().Count("requests_dropped");
    log_line(environment_.Log(), "router", "dropped")
        .With("request", message->request.id)
        .With("database", database_)
        .With("detail", close_reason_)
        .With("closed_us",
              std::chrono::duration_cast<std::chrono::microseconds>(
                  core::clock::now() - closed_at_)
                  .count());
  }
  input_.clear();
}

void caller_implementation::OnFirstMessage() {
  std::string rest = input_;
  const std::optional<sessions::caller_message> message =
      environment_.Callers().Take(rest);
  if (!message.has_value()) {
    return;
  }
  using kind = sessions::caller_message::message_kind;
  const core::route* route = message->kind == kind::kStart
                                 ? environment_.Routes().Find(message->database)
                                 : nullptr;
  if (route != nullptr) {
    database_ = message->database;
    access_.Start({"", accounts::DigestOf(message->key)});
    if (HasAccess()) {
      const bool has_accounts = environment_.Routes().requires_account;
      forwarded_ = environment_.Forwarder().Open(
          {route->group, database_,
           has_accounts ? access_.Identity() : accounts::caller_identity{}},
          *this);
    }
  }
  if (forwarded_ != nullptr) {
    input_ = std::move(rest);
    return;
  }
  StartLocalSession();
}

bool caller_implementation::HasAccess() {
  return access_.Check(environment_.Routes(), database_) ==
         accounts::access::kAllowed;
}

void caller_implementation::RefuseForwarded() {
  const std::optional<sessions::caller_message> message =
      environment_.Callers().Take(input_);
  if (!message.has_value()) {
    return;
  }
  input_.clear();
  // The owner rolls back an open transaction.
  std::exchange(forwarded_, nullptr)->Close();
  if (message->kind != sessions::caller_message::message_kind::kTerminate) {
    environment_.OnAccessRefused(
        access_.Identity(), access_.Check(environment_.Routes(), database_),
        database_);
    environment_.Metrics().OnAnswer(
        nullptr, false, core::duration(0),
        sessions::FailureName(sessions::failure_code::kNotAuthorized));
    std::string out;
    environment_.Callers().AppendFailure(
        out, sessions::failure_code::kNotAuthorized, sessions::kNoAccessText);
    environment_.Callers().AppendReady(out, sessions::session_state::kIdle,
                                       std::nullopt);
    Send(out);
  }
  Finish();
}

void caller_implementation::StartLocalSession() {
  session_ = std::make_shared<caller_session>(context_, environment_, *this);
}

void caller_implementation::OnServeLocally() {
  forwarded_.reset();
  StartLocalSession();
  session_->Start(database_, access_.Identity());
  if (closing_when_idle_) {
    session_->CloseWhenIdle();
  }
}

void caller_implementation::OnForwardedBytes(const std::string& bytes) {
  Send(bytes);
  if (!input_.empty()) {
    // Bytes that wait because the caller's key was withdrawn.
    OnBytes();
  }
  if (closing_when_idle_) {
    CloseWhenIdle();
  }
}

void caller_implementation::OnForwardedSessionEnded() {
  const owner_loss_reply lost(environment_.Callers(), forwarded_->Unanswered(),
                              forwarded_->InTransaction());
  if (!lost.Answer().empty()) {
    log_line(environment_.Log(), "router", "refuse")
        .With("request", lost.Request())
        .With("database", database_)
        .With("detail",
              std::string(sessions::FailureName(lost.Code())) + " home_lost");
    environment_.Metrics().OnAnswer(nullptr, false, core::duration(0),
                                    sessions::FailureName(lost.Code()));
    Send(lost.Answer());
  }
  close_reason_ = "home_lost";
  forwarded_.reset();
  Finish();
}

void caller_implementation::CloseWhenIdle() {
  closing_when_idle_ = true;
  if (session_ != nullptr) {
    session_->CloseWhenIdle();
    return;
  }
  const bool busy =
      !input_.empty() ||
      (forwarded_ != nullptr &&
       (forwarded_->InTransaction() || !forwarded_->Unanswered().empty()));
  if (!busy) {
    close_reason_ = "shutdown";
    Finish();
  }
}

void caller_implementation::RefuseFurtherWork(const char* reason) {
  if (session_ != nullptr) {
    session_->RefuseFurtherWork(reason);
  } else if (forwarded_ != nullptr) {
    forwarded_->RefuseFurtherWork();
  }
}

void caller_implementation::Finish() {
  if (closing_ || ended_) {
    return;
  }
  closing_ = true;
  closed_at_ = core::clock::now();
  if (writer_.Pending() == 0) {
    OnDrained();
  }
}

void caller_implementation::OnDrained() {
  if (closing_ && !ended_) {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

void caller_implementation::End() {
  if (ended_) {
    return;
  }
  ended_ = true;
  const auto self = Self();
  if (session_ != nullptr) {
    session_->OnCallerDisconnected();
  }
  if (forwarded_ != nullptr) {
    forwarded_->Close();
  }
  error_code ignored;
  socket_.close(ignored);
  environment_.OnCallerClosed(*this);
}

}  // namespace

std::shared_ptr<caller_connection> caller_connection::Start(
    asio::io_context& context,
    tcp::socket socket,
    caller_environment& environment) {
  SetLatencyOptions(socket);
  auto connection = std::make_shared<caller_implementation>(
      context, std::move(socket), environment);
  connection->Read();
  return connection;
}

}  // namespace plantaintiller::gateway
