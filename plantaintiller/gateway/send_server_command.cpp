#include "plantaintiller/gateway/send_server_command.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace plantaintiller::gateway {

namespace {

/// Served before every priority class of callers' statements.
constexpr int kCommandPriority = -1;

/// A command in progress. It keeps itself alive until the reply or the
/// time-out.
class pending_command : public std::enable_shared_from_this<pending_command>,
                        public connection_waiter,
                        public sessions::reply_listener {
 public:
  pending_command(boost::asio::io_context& context,
                  connection_pool& pool,
                  std::string bytes,
                  answer_use use,
                  server_command_callback done)
      : timer_(context),
        pool_(pool),
        bytes_(std::move(bytes)),
        use_(use),
        done_(std::move(done)) {}

  void Start(const std::string& server, core::milliseconds timeout) {
    self_ = shared_from_this();
    timer_.expires_after(timeout);
    timer_.async_wait([this, held = self_](boost::system::error_code error) {
      if (!error && self_ != nullptr) {
        pool_.Cancel(*this);
        End(std::nullopt, sessions::release_kind::kBroken);
      }
    });
    sessions::connection_requirements need;
    need.server = server;
    need.priority = kCommandPriority;
    pool_.Acquire(need, *this);
  }

  sessions::reply_listener& Listener() override { return *this; }
  void OnConnection(sessions::server_connection& connection) override {
    connection_ = &connection;
    connection.Send(bytes_, {sessions::command_kind::kStatus});
  }
  void OnReply(sessions::server_reply reply) override {
    if (reply.may_be_repeated && use_ == answer_use::kDecides &&
        !asked_again_) {
      // The second of two answers was given after the first command was sent.
      asked_again_ = true;
      connection_->Send(bytes_, {sessions::command_kind::kStatus});
      return;
    }
    End(std::move(reply), sessions::release_kind::kClean);
  }
  void OnConnectionLost() override {
    connection_ = nullptr;
    End(std::nullopt, sessions::release_kind::kBroken);
  }

 private:
  void End(std::optional<sessions::server_reply> reply,
           sessions::release_kind kind) {
    const auto held = std::exchange(self_, nullptr);
    timer_.cancel();
    if (connection_ != nullptr) {
      std::exchange(connection_, nullptr)->Release(kind);
    }
    std::exchange(done_, nullptr)(std::move(reply));
  }

  boost::asio::steady_timer timer_;
  connection_pool& pool_;
  std::string bytes_;
  answer_use use_;
  bool asked_again_ = false;
  server_command_callback done_;
  sessions::server_connection* connection_ = nullptr;
  std::shared_ptr<pending_command> self_;
};

}  // namespace

void SendServerCommand(boost::asio::io_context& context,
                       connection_pool& pool,
                       const std::string& server,
                       std::string bytes,
                       core::milliseconds timeout,
                       answer_use use,
                       server_command_callback done) {
  std::make_shared<pending_command>(context, pool, std::move(bytes), use,
                                    std::move(done))
      ->Start(server, timeout);
}

}  // namespace plantaintiller::gateway
