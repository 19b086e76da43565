#include "plantaintiller/http/client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <iterator>
#include <optional>
#include <utility>

namespace plantaintiller::http {

namespace {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
/// Time in milliseconds after which the kernel ends a connection whose data is
/// not acknowledged, also while the process is paused.
using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
}  // namespace

class client::implementation
    : public std::enable_shared_from_this<client::implementation> {
 public:
  implementation(asio::io_context& context,
                 std::string host,
                 std::uint16_t port,
                 core::milliseconds timeout)
      : context_(context),
        host_(std::move(host)),
        port_(port),
        timeout_(timeout) {}

  void Send(const request& http_request, exchange_callback done) {
    queue_.push_back({http_request,
                      std::move(done),
                      core::clock::now(),
                      core::SuspendedTime(),
                      {}});
    if (!busy_) {
      StartNext();
    }
  }

 private:
  struct exchange {
    request http_request;
    exchange_callback done;
    core::time_point queued_at;
    /// How long the machine had been suspended by then.
    core::duration suspended;
    std::optional<core::time_point> written_at;
  };

  void StartNext() {
    if (queue_.empty()) {
      busy_ = false;
      return;
    }
    busy_ = true;
    if (stream_.has_value() && HasUnexpectedBytes()) {
      // They would be read as the answer to the next request.
      stream_.reset();
      buffer_.clear();
    }
    if (stream_.has_value()) {
      Write();
      return;
    }
    stream_.emplace(context_);
    stream_->expires_after(std::min(timeout_, TimeLeft()));
    const tcp::endpoint endpoint(asio::ip::make_address(host_), port_);
    stream_->async_connect(
        endpoint, [self = shared_from_this()](beast::error_code error) {
          if (error) {
            self->Finish(exchange_status::kNotSent, {});
            return;
          }
          beast::error_code ignored;
          self->stream_->socket().set_option(tcp::no_delay(true), ignored);
          self->Write();
        });
  }

  /// @return whether the server has sent more than the answers so far.
  bool HasUnexpectedBytes() const {
    beast::error_code error;
    return buffer_.size() > 0 || stream_->socket().available(error) > 0;
  }

  /// @return the time in which the first request must reach the server.
  core::milliseconds TimeLeft() const {
    const exchange& first = queue_.front();
    if (!first.http_request.valid_for.has_value()) {
      return core::milliseconds::max();
    }
    return *first.http_request.valid_for -
           core::ToMilliseconds(core::clock::now() - first.queued_at +
                                core::SuspendedTime() - first.suspended);
  }

  void SetDeliveryLimit(core::milliseconds left) {
    beast::error_code ignored;
    stream_->socket().set_option(tcp::socket::linger(true, 0), ignored);
    stream_->socket().set_option(user_timeout(static_cast<int>(left.count())),
                                 ignored);
  }

  void Write() {
    const core::milliseconds left = TimeLeft();
    if (left <= core::milliseconds(0)) {
      asio::post(context_, [self = shared_from_this()] { self->Expire(); });
      return;
    }
    if (left != core::milliseconds::max()) {
      SetDeliveryLimit(left);
    }
    const request& http_request = queue_.front().http_request;
    request_ = {};
    request_.version(11);
    request_.method_string(http_request.method);
    request_.target(http_request.target);
    request_.set(beast::http::field::host, host_);
    request_.set(beast::http::field::content_type, "application/json");
    for (const auto& [name, value] : http_request.headers) {
      request_.set(name, value);
    }
    request_.body() = http_request.body;
    request_.prepare_payload();
    stream_->expires_after(std::min(timeout_, left));
    queue_.front().written_at = core::clock::now();
    beast::http::async_write(
        *stream_, request_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          if (error) {
            self->Finish(exchange_status::kNoAnswer, {});
            return;
          }
          self->Read();
        });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(64U << 20U);
    beast::http::async_read(
        *stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, std::size_t) {
          if (error) {
            self->Finish(exchange_status::kNoAnswer, {});
            return;
          }
          response answer;
          answer.status = static_cast<int>(self->parser_->get().result_int());
          answer.body = std::move(self->parser_->get().body());
          answer.close = !self->parser_->get().keep_alive();
          for (const auto& field : self->parser_->get()) {
            answer.headers.emplace_back(field.name_string(), field.value());
          }
          self->Finish(exchange_status::kAnswered, std::move(answer));
        });
  }

  /// Ends the first exchange without sending it.
  void Expire() {
    exchange ended = std::move(queue_.front());
    queue_.pop_front();
    response answer;
    answer.queued = core::ToMilliseconds(core::clock::now() - ended.queued_at);
    ended.done(exchange_status::kNotSent, std::move(answer));
    StartNext();
  }

  void Finish(exchange_status status, response answer) {
    if (status != exchange_status::kAnswered || answer.close) {
      stream_.reset();
      buffer_.clear();
    }
    std::deque<exchange> ended;
    ended.push_back(std::move(queue_.front()));
    queue_.pop_front();
    if (status != exchange_status::kAnswered) {
      // The queued exchanges would run into the same failure one by one.
      std::move(queue_.begin(), queue_.end(), std::back_inserter(ended));
      queue_.clear();
    }
    exchange_status each_status = status;
    for (exchange& each : ended) {
      answer.queued = core::ToMilliseconds(
          each.written_at.value_or(core::clock::now()) - each.queued_at);
      each.done(each_status, std::move(answer));
      answer = {};
      each_status = exchange_status::kNotSent;
    }
    StartNext();
  }

  asio::io_context& context_;
  std::string host_;
  std::uint16_t port_;
  core::milliseconds timeout_;
  std::deque<exchange> queue_;
  bool busy_ = false;
  std::optional<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  beast::http::request<beast::http::string_body> request_;
  std::optional<beast::http::response_parser<beast::http::string_body>> parser_;
};

std::string response::Header(std::string_view name) const {
  for (const auto& [field, value] : headers) {
    if (beast::iequals(field, name)) {
      return value;
    }
  }
  return "";
}

client::client(asio::io_context& context,
               std::string host,
               std::uint16_t port,
               core::milliseconds timeout)
    : implementation_(std::make_shared<implementation>(context,
                                                       std::move(host),
                                                       port,
                                                       timeout)) {}

client::~client() = default;

void client::Send(const request& http_request, exchange_callback done) {
  implementation_->Send(http_request, std::move(done));
}

}  // namespace plantaintiller::http
