#include "plantaintiller/gateway/caller_connection.h"

#include <array>
#include <cstdint>
#include <optional>
#include <utility>

#include "plantaintiller/accounts/key_digest.h"
#include "plantaintiller/accounts/session_access.h"
#include "plantaintiller/gateway/caller_session.h"
#include "plantaintiller/gateway/owner_loss_reply.h"
#include "plantaintiller/gateway/refusal_report.h"
#include "plantaintiller/gateway/socket_options.h"
#include "plantaintiller/gateway/stream_writer.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadSize = 4096;
constexpr const char* kOwnerLostReason = "home_lost";

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
  void EndIdle(sessions::session_ending ending) override;

  // forwarding::forwarded_listener
  void OnForwardedBytes(const std::string& bytes) override;
  void OnForwardedSessionEnded(forwarding::session_end end) override;
  void OnServeLocally() override;

 private:
  enum class phase : std::uint8_t {
    kServing,
    /// The caller was told that the session ends. It closes the connection, or
    /// sends a request that is refused.
    kEnding,
    /// Nothing more is sent.
    kFinished,
  };

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
  /// Sends the whole messages that were received to the session owner. The rest
  /// of a message stays here, so that the end of the session can answer it.
  void ForwardInput();
  /// Refuses the requests that arrive after the caller was told of the end.
  void RefuseLateRequests();
  bool IsInputFull() const;
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
  phase phase_ = phase::kServing;
  /// Set from `kEnding` on.
  std::optional<sessions::session_ending> ending_;
  core::time_point finished_at_;
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
  if (phase_ == phase::kFinished) {
    ReportDropped(environment_, database_, core::clock::now() - finished_at_,
                  input_);
    input_.clear();
    return;
  }
  if (phase_ == phase::kEnding) {
    RefuseLateRequests();
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
    ForwardInput();
  } else if (session_ != nullptr) {
    session_->OnBytes(std::exchange(input_, {}));
  }
}

void caller_implementation::ForwardInput() {
  const std::size_t whole = environment_.Callers().WholeMessages(input_);
  if (whole == input_.size() || input_.size() > sessions::kMaxMessageBytes) {
    // The owner refuses a message that is too large.
    forwarded_->Send(std::exchange(input_, {}));
  } else if (whole > 0) {
    forwarded_->Send(std::string_view(input_).substr(0, whole));
    input_.erase(0, whole);
  }
}

void caller_implementation::RefuseLateRequests() {
  const std::string answers = ending_->Refuse(input_);
  ReportRefusals(environment_, database_, *ending_);
  if (!answers.empty()) {
    Send(ending_->IsComplete() ? answers : answers + ending_->Notice());
  }
  if (ending_->IsComplete()) {
    Finish();
  }
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
  sessions::session_ending ending(environment_.Callers(),
                                  sessions::failure_code::kNotAuthorized,
                                  sessions::kNoAccessText);
  const std::string answers = ending.Refuse(input_);
  if (answers.empty() && !ending.IsComplete()) {
    return;
  }
  // The owner rolls back an open transaction.
  std::exchange(forwarded_, nullptr)->Close();
  if (!answers.empty()) {
    environment_.OnAccessRefused(
        access_.Identity(), access_.Check(environment_.Routes(), database_),
        database_);
    ReportRefusals(environment_, database_, ending);
    Send(answers);
  }
  // Without access the connection is not kept until its caller closes it.
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

void caller_implementation::OnForwardedSessionEnded(
    forwarding::session_end end) {
  const std::shared_ptr<forwarding::forwarded_session> ended =
      std::exchange(forwarded_, nullptr);
  const owner_loss_reply lost(environment_.Callers(), ended->Unanswered(),
                              ended->InTransaction());
  if (!lost.Answer().empty()) {
    log_line(environment_.Log(), "router", "refuse")
        .With("request", lost.Request())
        .With("database", database_)
        .With("detail", std::string(sessions::FailureName(lost.Code())) + " " +
                            kOwnerLostReason);
    environment_.Metrics().OnAnswer(nullptr, false, core::duration(0),
                                    sessions::FailureName(lost.Code()));
    Send(lost.Answer());
  } else if (end == forwarding::session_end::kExpected) {
    Finish();
    return;
  }
  // An open transaction has ended with the session.
  const bool aborted = lost.Answer().empty() && ended->InTransaction();
  EndIdle({environment_.Callers(),
           aborted ? sessions::failure_code::kAborted
                   : sessions::failure_code::kBusy,
           kOwnerLostReason});
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
    EndIdle({environment_.Callers(), sessions::failure_code::kBusy,
             kShutdownReason});
  }
}

void caller_implementation::RefuseFurtherWork(const char* reason) {
  if (session_ != nullptr) {
    session_->RefuseFurtherWork(reason);
  } else if (forwarded_ != nullptr) {
    forwarded_->RefuseFurtherWork();
  }
}

void caller_implementation::EndIdle(sessions::session_ending ending) {
  if (phase_ != phase::kServing || ended_) {
    return;
  }
  phase_ = phase::kEnding;
  ending_.emplace(std::move(ending));
  if (forwarded_ != nullptr) {
    std::exchange(forwarded_, nullptr)->Close();
  }
  Send(ending_->Notice());
  // The rest of a message may have been received before.
  OnBytes();
}

void caller_implementation::Finish() {
  if (phase_ == phase::kFinished || ended_) {
    return;
  }
  phase_ = phase::kFinished;
  finished_at_ = core::clock::now();
  if (writer_.Pending() == 0) {
    OnDrained();
  }
}

void caller_implementation::OnDrained() {
  if (phase_ == phase::kFinished && !ended_) {
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
