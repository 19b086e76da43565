#include "plantaintiller/gateway/caller_connection.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "plantaintiller/gateway/socket_options.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::size_t kReadSize = 4096;

class caller_implementation final : public caller_connection,
                                    public sessions::session_host,
                                    public connection_taker {
 public:
  caller_implementation(tcp::socket socket, caller_environment& environment)
      : socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        environment_(environment),
        engine_(*this, environment.SessionSettings()) {}

  void Read();

  // caller_connection
  void CloseWhenIdle() override;
  void AbandonTransaction(const char* reason) override {
    engine_.AbandonTransaction(reason);
  }
  void CloseNow() override { End(); }
  bool IsBusy() const override {
    return !engine_.IsIdle() || engine_.InTransaction();
  }

  // session_host
  core::time_point Now() const override { return core::clock::now(); }
  const core::route_table& Routes() const override {
    return environment_.Routes();
  }
  replication::group_state* Group(const std::string& name) override {
    return environment_.Group(name);
  }
  sessions::caller_codec& Callers() override { return environment_.Callers(); }
  sessions::server_codec& Servers() override { return environment_.Servers(); }
  void Acquire(const sessions::connection_need& need) override;
  void CancelAcquire() override;
  void Reply(const std::string& bytes) override;
  void Close() override;
  void SetTimer(core::time_point when) override;
  void ClearTimer() override;
  void OnNotLeader(const std::string& group,
                   const std::string& server) override {
    environment_.OnNotLeader(group, server);
  }
  void OnServerTrouble(const std::string& group,
                       const std::string& server) override {
    environment_.OnStatementTrouble(group, server);
  }
  void Note(const sessions::request_note& note) override;
  void Count(const core::route* route,
             bool at_leader,
             core::duration took,
             const char* failure) override {
    environment_.Metrics().OnAnswer(route, at_leader, took, failure);
  }

  // connection_taker
  sessions::reply_listener& Listener() override { return engine_; }
  void OnConnection(sessions::server_connection& connection) override {
    pool_ = nullptr;
    engine_.OnConnection(connection);
    Proceed();
  }

 private:
  std::shared_ptr<caller_implementation> Self() {
    return std::static_pointer_cast<caller_implementation>(shared_from_this());
  }
  void Proceed();
  void Write();
  void End();

  tcp::socket socket_;
  asio::steady_timer timer_;
  caller_environment& environment_;
  sessions::session_engine engine_;
  connection_pool* pool_ = nullptr;
  std::array<char, kReadSize> chunk_{};
  std::string input_;
  std::string output_;
  std::string writing_;
  bool proceeding_ = false;
  bool reading_ = false;
  bool closing_ = false;
  bool leaving_ = false;
  bool ended_ = false;
};

void caller_implementation::Read() {
  // A caller that sends more than is served is made to wait.
  if (reading_ || ended_ || input_.size() > sessions::kMaxMessage + kReadSize) {
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
                            self->Proceed();
                            self->Read();
                          });
}

void caller_implementation::Proceed() {
  if (proceeding_) {
    return;
  }
  proceeding_ = true;
  while (!ended_ && !closing_ && engine_.IsIdle()) {
    std::optional<sessions::caller_message> message =
        environment_.Callers().Take(input_);
    if (!message.has_value()) {
      break;
    }
    engine_.OnMessage(*message);
  }
  proceeding_ = false;
  if (leaving_ && !IsBusy() && input_.empty()) {
    Close();
  }
  Read();
}

void caller_implementation::Acquire(const sessions::connection_need& need) {
  pool_ = environment_.Pool(need.group);
  if (pool_ != nullptr) {
    pool_->Acquire(need, *this);
  }
}

void caller_implementation::CancelAcquire() {
  if (pool_ != nullptr) {
    pool_->Cancel(*this);
    pool_ = nullptr;
  }
}

void caller_implementation::Reply(const std::string& bytes) {
  output_ += bytes;
  Write();
  if (!proceeding_) {
    // The answer may let the next request start, or a leaving caller go.
    asio::post(socket_.get_executor(), [self = Self()] { self->Proceed(); });
  }
}

void caller_implementation::Write() {
  if (ended_ || !writing_.empty() || output_.empty()) {
    return;
  }
  error_code error;
  if (!socket_.non_blocking()) {
    socket_.non_blocking(true, error);
  }
  const std::size_t sent = socket_.write_some(asio::buffer(output_), error);
  if (!error) {
    output_.erase(0, sent);
  } else if (error != asio::error::would_block) {
    output_.clear();
    asio::post(socket_.get_executor(), [self = Self()] { self->End(); });
    return;
  }
  if (output_.empty()) {
    if (closing_) {
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
    return;
  }
  writing_.swap(output_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = Self()](error_code failed, std::size_t) {
                      self->writing_.clear();
                      if (failed) {
                        self->End();
                        return;
                      }
                      self->Write();
                      if (self->closing_ && self->output_.empty()) {
                        error_code ignored;
                        self->socket_.shutdown(tcp::socket::shutdown_send,
                                               ignored);
                      }
                    });
}

void caller_implementation::Close() {
  if (closing_ || ended_) {
    return;
  }
  closing_ = true;
  if (output_.empty() && writing_.empty()) {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
}

void caller_implementation::CloseWhenIdle() {
  leaving_ = true;
  if (!IsBusy() && input_.empty()) {
    Close();
  }
}

void caller_implementation::SetTimer(core::time_point when) {
  timer_.expires_at(when);
  timer_.async_wait([self = Self()](error_code cancelled) {
    if (!cancelled && !self->ended_ &&
        self->timer_.expiry() <= core::clock::now()) {
      self->engine_.OnTimer();
      self->Proceed();
    }
  });
}

void caller_implementation::ClearTimer() {
  timer_.cancel();
}

void caller_implementation::Note(const sessions::request_note& note) {
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

void caller_implementation::End() {
  if (ended_) {
    return;
  }
  ended_ = true;
  const auto self = Self();
  CancelAcquire();
  engine_.OnCallerGone();
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  environment_.OnCallerClosed(*this);
}

}  // namespace

std::shared_ptr<caller_connection> caller_connection::Start(
    tcp::socket socket,
    caller_environment& environment) {
  SetLatencyOptions(socket);
  auto made =
      std::make_shared<caller_implementation>(std::move(socket), environment);
  made->Read();
  return made;
}

}  // namespace plantaintiller::gateway
