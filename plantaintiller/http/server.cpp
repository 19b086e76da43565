#include "plantaintiller/http/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>
#include <utility>

namespace plantaintiller::http {

namespace {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
}  // namespace

class session;

class server::implementation
    : public std::enable_shared_from_this<server::implementation> {
 public:
  implementation(asio::io_context& context,
                 const server_settings& settings,
                 handler& request_handler)
      : settings_(settings), handler_(request_handler), acceptor_(context) {}

  std::uint16_t Listen();
  void Accept();
  void StopAccepting();

  server_settings settings_;
  handler& handler_;
  tcp::acceptor acceptor_;
  std::set<session*> sessions_;
  bool stopping_ = false;
};

/// One connection. Its pending operations keep it alive.
class session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, std::shared_ptr<server::implementation> owner)
      : stream_(std::move(socket)), owner_(std::move(owner)) {
    owner_->sessions_.insert(this);
  }
  ~session() { owner_->sessions_.erase(this); }
  session(const session&) = delete;
  session& operator=(const session&) = delete;

  void ReadFirstByte();
  void CloseIfIdle() {
    if (idle_) {
      stream_.close();
    }
  }

 private:
  void ReadRequest();
  void OnRequest(beast::error_code error);
  void RefuseMalformed(beast::error_code error);
  void Write(response answer, bool keep_alive, unsigned version);

  beast::tcp_stream stream_;
  std::shared_ptr<server::implementation> owner_;
  beast::flat_buffer buffer_;
  std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
  beast::http::response<beast::http::string_body> response_;
  bool idle_ = true;
};

std::uint16_t server::implementation::Listen() {
  const tcp::endpoint endpoint(asio::ip::make_address(settings_.host),
                               settings_.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
  return acceptor_.local_endpoint().port();
}

void server::implementation::Accept() {
  acceptor_.async_accept([self = shared_from_this()](beast::error_code error,
                                                     tcp::socket socket) {
    if (error == asio::error::operation_aborted || self->stopping_) {
      return;
    }
    if (!error && self->sessions_.size() < self->settings_.max_connections) {
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<session>(std::move(socket), self)->ReadFirstByte();
    }
    self->Accept();
  });
}

void server::implementation::StopAccepting() {
  stopping_ = true;
  beast::error_code ignored;
  acceptor_.close(ignored);
  // Closing a session may destroy it and change the set, so a copy is used.
  const std::set<session*> open = sessions_;
  for (session* each : open) {
    each->CloseIfIdle();
  }
}

void session::ReadFirstByte() {
  if (buffer_.size() > 0) {
    ReadRequest();
    return;
  }
  idle_ = true;
  stream_.expires_after(owner_->settings_.idle_timeout);
  stream_.async_read_some(
      buffer_.prepare(4096),
      [self = shared_from_this()](beast::error_code error, std::size_t size) {
        if (error) {
          return;
        }
        self->buffer_.commit(size);
        self->ReadRequest();
      });
}

void session::ReadRequest() {
  idle_ = false;
  parser_.emplace();
  parser_->body_limit(owner_->settings_.max_body);
  parser_->header_limit(
      static_cast<std::uint32_t>(owner_->settings_.max_header));
  stream_.expires_after(owner_->settings_.io_timeout);
  beast::http::async_read(
      stream_, buffer_, *parser_,
      [self = shared_from_this()](beast::error_code error, std::size_t) {
        self->OnRequest(error);
      });
}

void session::OnRequest(beast::error_code error) {
  if (error) {
    RefuseMalformed(error);
    return;
  }
  const auto& message = parser_->get();
  const bool keep_alive = message.keep_alive();
  const unsigned version = message.version();
  const request http_request{std::string(message.method_string()),
                             std::string(message.target()), message.body()};
  stream_.expires_never();
  owner_->handler_.Handle(http_request, [self = shared_from_this(), keep_alive,
                                         version](response answer) {
    self->Write(std::move(answer), keep_alive, version);
  });
}

void session::RefuseMalformed(beast::error_code error) {
  const bool connection_closed =
      error == beast::http::error::end_of_stream ||
      error == beast::http::error::partial_message ||
      error.category() == asio::error::get_system_category() ||
      error == beast::error::timeout;
  if (connection_closed) {
    return;
  }
  const bool too_large = error == beast::http::error::body_limit ||
                         error == beast::http::error::header_limit;
  response answer;
  answer.status = too_large ? 413 : 400;
  answer.body = too_large
                    ? R"({"error":{"type":"too_large","effect":"not_run"}})"
                    : R"({"error":{"type":"bad_request","effect":"not_run",)"
                      R"("message":"malformed HTTP"}})";
  answer.close = true;
  Write(std::move(answer), false, 11);
}

void session::Write(response answer, bool keep_alive, unsigned version) {
  response_ = {};
  response_.version(version);
  response_.result(static_cast<unsigned>(answer.status));
  response_.set(beast::http::field::content_type, answer.content_type);
  if (answer.retry_after_seconds > 0) {
    response_.set(beast::http::field::retry_after,
                  std::to_string(answer.retry_after_seconds));
  }
  const bool keep_open = keep_alive && !answer.close && !owner_->stopping_;
  response_.keep_alive(keep_open);
  response_.body() = std::move(answer.body);
  response_.prepare_payload();
  stream_.expires_after(owner_->settings_.io_timeout);
  beast::http::async_write(stream_, response_,
                           [self = shared_from_this(), keep_open](
                               beast::error_code error, std::size_t) {
                             if (error) {
                               return;
                             }
                             if (keep_open) {
                               self->ReadFirstByte();
                               return;
                             }
                             beast::error_code ignored;
                             self->stream_.socket().shutdown(
                                 tcp::socket::shutdown_send, ignored);
                           });
}

server::server(asio::io_context& context,
               const server_settings& settings,
               handler& request_handler)
    : implementation_(std::make_shared<implementation>(context,
                                                       settings,
                                                       request_handler)) {}

server::~server() = default;

std::uint16_t server::Listen() {
  return implementation_->Listen();
}

void server::StopAccepting() {
  implementation_->StopAccepting();
}

std::size_t server::Connections() const {
  return implementation_->sessions_.size();
}

}  // namespace plantaintiller::http
