#include "plantaintiller/gateway/server_link.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "plantaintiller/gateway/socket_options.h"
#include "plantaintiller/gateway/stream_writer.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Time-out for opening a link: a round trip between regions and the wait for a
/// slot behind a full queue. A lost packet is sent again only after a second,
/// but a server that does not respond must be noticed sooner.
constexpr core::milliseconds kOpenTimeout{450};
/// Time-out for the replies that are outstanding when a session releases a
/// link, and for the rollback.
constexpr core::milliseconds kCleanUpTimeout{2500};
constexpr std::size_t kReadSize = 8192;

class link_implementation final : public server_link {
 public:
  link_implementation(asio::io_context& context,
                      sessions::server_codec& codec,
                      link_target target,
                      server_link_listener& link_listener)
      : socket_(context),
        writer_(socket_),
        timer_(context),
        codec_(codec),
        target_(std::move(target)),
        link_listener_(&link_listener) {
    writer_.SetHandlers([this] { End(link_close_reason::kLost); }, [] {});
  }

  void Connect();

  const std::string& Server() const override { return target_.server; }
  sessions::connection_state& State() override { return session_state_; }
  core::time_point LastReceived() const override { return last_received_; }
  core::time_point IdleSince() const override { return idle_since_; }
  const std::string& Account() const override { return target_.account; }
  void Acquire(sessions::reply_listener& listener) override {
    reply_listener_ = &listener;
    phase_ = link_phase::kInUse;
  }
  void Send(const std::string& bytes,
            const std::vector<sessions::command_kind>& commands) override;
  void Release(sessions::release_kind kind) override;
  void Close() override { End(link_close_reason::kLost); }

 private:
  std::shared_ptr<link_implementation> Self() {
    return std::static_pointer_cast<link_implementation>(shared_from_this());
  }
  void Arm(core::milliseconds limit);
  void Read();
  void OnBytes();
  /// @param kind the command that was answered.
  void OnReply(sessions::command_kind kind, sessions::server_reply reply);
  /// @return whether an answer is kept until it is certain that it answers its
  /// command, or the link was closed because it can't be.
  bool KeepsForTest(sessions::command_kind kind,
                    const sessions::server_reply& reply);
  void SendTest();
  void OnTested(const sessions::server_reply& reply);
  void Report(link_fault fault);
  /// Reports a fault and closes the link.
  void EndFor(link_fault fault);
  void OnStarted(const sessions::server_reply& reply);
  void BecomeIdle();
  void End(link_close_reason reason);

  tcp::socket socket_;
  stream_writer writer_;
  asio::steady_timer timer_;
  sessions::server_codec& codec_;
  link_target target_;
  server_link_listener* link_listener_;
  sessions::connection_state session_state_;
  sessions::reply_listener* reply_listener_ = nullptr;
  std::array<char, kReadSize> chunk_{};
  std::string input_;
  sessions::server_reply partial_;
  sessions::answer_sequence sequence_;
  /// Answer that is passed on when the test behind it is answered.
  std::optional<sessions::server_reply> kept_reply_;
  /// Whether the test is repeated because its answer may be an earlier one.
  bool tests_again_ = false;
  link_phase phase_ = link_phase::kOpening;
  bool started_ = false;
  bool cleaning_ = false;
  bool closed_ = false;
  core::time_point last_received_;
  core::time_point idle_since_;
};

void link_implementation::Connect() {
  error_code error;
  const auto address = asio::ip::make_address(target_.host, error);
  if (error) {
    asio::post(socket_.get_executor(),
               [self = Self()] { self->End(link_close_reason::kLost); });
    return;
  }
  Arm(kOpenTimeout);
  socket_.async_connect(
      tcp::endpoint(address, target_.port), [self = Self()](error_code failed) {
        if (self->closed_) {
          return;
        }
        if (failed) {
          self->End(link_close_reason::kLost);
          return;
        }
        SetLatencyOptions(self->socket_);
        std::string start;
        self->codec_.AppendStart(start, self->target_.account,
                                 self->target_.group, self->target_.server);
        self->Send(start, {sessions::command_kind::kStart});
        self->Read();
      });
}

void link_implementation::Arm(core::milliseconds limit) {
  timer_.expires_after(limit);
  timer_.async_wait([self = Self()](error_code cancelled) {
    if (!cancelled) {
      self->End(link_close_reason::kLost);
    }
  });
}

void link_implementation::Send(
    const std::string& bytes,
    const std::vector<sessions::command_kind>& commands) {
  for (const sessions::command_kind each : commands) {
    sequence_.OnSent(each);
  }
  if (!closed_) {
    writer_.Send(bytes, shared_from_this());
  }
}

void link_implementation::Read() {
  socket_.async_read_some(asio::buffer(chunk_),
                          [self = Self()](error_code failed, std::size_t size) {
                            if (self->closed_) {
                              return;
                            }
                            if (failed) {
                              self->End(link_close_reason::kLost);
                              return;
                            }
                            self->last_received_ = core::clock::now();
                            self->input_.append(self->chunk_.data(), size);
                            self->OnBytes();
                            if (!self->closed_) {
                              self->Read();
                            }
                          });
}

void link_implementation::OnBytes() {
  while (!closed_) {
    std::optional<sessions::server_reply> reply = codec_.Take(input_, partial_);
    if (!reply.has_value()) {
      return;
    }
    if (reply->malformed) {
      EndFor(link_fault::kMalformedAnswer);
      return;
    }
    const std::optional<sessions::command_kind> next = sequence_.Next();
    switch (sequence_.OnAnswer(*reply)) {
      case sessions::answer_match::kAnswer:
        OnReply(*next, std::move(*reply));
        break;
      case sessions::answer_match::kRepeated:
        Report(link_fault::kRepeatedAnswer);
        break;
      case sessions::answer_match::kOutOfStep:
        EndFor(link_fault::kOutOfStep);
        break;
      case sessions::answer_match::kUnexpected:
        EndFor(link_fault::kUnexpectedAnswer);
        break;
    }
  }
}

void link_implementation::Report(link_fault fault) {
  link_listener_->OnLinkFault(*this, fault,
                              static_cast<int>(sequence_.Waiting()));
}

void link_implementation::EndFor(link_fault fault) {
  Report(fault);
  End(link_close_reason::kLost);
}

void link_implementation::OnReply(sessions::command_kind kind,
                                  sessions::server_reply reply) {
  if (!started_) {
    OnStarted(reply);
    return;
  }
  if (kept_reply_.has_value()) {
    OnTested(reply);
    return;
  }
  if (reply_listener_ != nullptr) {
    if (!KeepsForTest(kind, reply)) {
      reply_listener_->OnReply(std::move(reply));
    }
    return;
  }
  if (cleaning_ && sequence_.Waiting() == 0) {
    cleaning_ = false;
    timer_.cancel();
    if (sequence_.State() != sessions::session_state::kIdle) {
      // The roll-back was refused; a transaction may still be open.
      End(link_close_reason::kLost);
      return;
    }
    BecomeIdle();
  }
}

bool link_implementation::KeepsForTest(sessions::command_kind kind,
                                       const sessions::server_reply& reply) {
  // An answer to BEGIN that is not its own would let writes run outside of the
  // transaction, and one to set-up would let statements run without it.
  const bool is_unclear =
      reply.may_be_repeated &&
      (reply.succeeded ? kind == sessions::command_kind::kBegin ||
                             kind == sessions::command_kind::kSetting
                       : kind == sessions::command_kind::kStatement ||
                             kind == sessions::command_kind::kCommit);
  if (!is_unclear || sequence_.Waiting() > 0) {
    return false;
  }
  if (sequence_.State() == sessions::session_state::kFailedTransaction) {
    // A failed transaction allows no test.
    EndFor(link_fault::kOutOfStep);
    return true;
  }
  kept_reply_ = reply;
  tests_again_ = false;
  SendTest();
  return true;
}

void link_implementation::SendTest() {
  std::string out;
  codec_.AppendStatus(out);
  Send(out, {sessions::command_kind::kStatus});
}

void link_implementation::OnTested(const sessions::server_reply& reply) {
  if (!reply.succeeded) {
    // It may be the refusal of the command itself.
    EndFor(link_fault::kOutOfStep);
    return;
  }
  if (reply.may_be_repeated && !std::exchange(tests_again_, true)) {
    // The answer to the command still comes before that of the second test.
    SendTest();
    return;
  }
  sessions::server_reply kept = *std::exchange(kept_reply_, std::nullopt);
  if (reply_listener_ != nullptr) {
    reply_listener_->OnReply(std::move(kept));
  }
}

void link_implementation::OnStarted(const sessions::server_reply& reply) {
  timer_.cancel();
  if (reply.succeeded) {
    started_ = true;
    BecomeIdle();
    return;
  }
  switch (reply.failure) {
    case sessions::failure_code::kTooManyConnections:
      End(link_close_reason::kFull);
      return;
    case sessions::failure_code::kWrongServer:
      End(link_close_reason::kWrongServer);
      return;
    default:
      End(link_close_reason::kLost);
      return;
  }
}

void link_implementation::BecomeIdle() {
  idle_since_ = core::clock::now();
  link_listener_->OnLinkIdle(*this, std::exchange(phase_, link_phase::kIdle));
}

void link_implementation::Release(sessions::release_kind kind) {
  reply_listener_ = nullptr;
  kept_reply_.reset();
  if (closed_) {
    return;
  }
  if (kind == sessions::release_kind::kBroken || !session_state_.is_known) {
    End(link_close_reason::kLost);
    return;
  }
  if (kind == sessions::release_kind::kClean && sequence_.Waiting() == 0 &&
      sequence_.State() == sessions::session_state::kIdle) {
    BecomeIdle();
    return;
  }
  cleaning_ = true;
  Arm(kCleanUpTimeout);
  std::string out;
  codec_.AppendRollback(out);
  Send(out, {sessions::command_kind::kRollback});
}

void link_implementation::End(link_close_reason reason) {
  if (closed_) {
    return;
  }
  closed_ = true;
  const auto self = Self();
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  sessions::reply_listener* listener = reply_listener_;
  reply_listener_ = nullptr;
  if (listener != nullptr) {
    listener->OnConnectionLost();
  }
  link_listener_->OnLinkClosed(*this, reason, phase_);
}

}  // namespace

const char* LinkFaultName(link_fault fault) {
  switch (fault) {
    case link_fault::kUnexpectedAnswer:
      return "unexpected_answer";
    case link_fault::kMalformedAnswer:
      return "malformed_answer";
    case link_fault::kOutOfStep:
      return "out_of_step";
    case link_fault::kRepeatedAnswer:
      return "repeated_answer";
  }
  return "malformed_answer";
}

server_link::~server_link() = default;

std::shared_ptr<server_link> server_link::Open(
    asio::io_context& context,
    sessions::server_codec& codec,
    const link_target& target,
    server_link_listener& link_listener) {
  auto link = std::make_shared<link_implementation>(context, codec, target,
                                                    link_listener);
  link->Connect();
  return link;
}

}  // namespace plantaintiller::gateway
