#include "plantaintiller/gateway/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;

/// Time in milliseconds after which unacknowledged data closes a connection:
/// several round trips between regions and two retransmissions.
constexpr int kUserTimeoutMs = 700;
/// Idle connections are probed after this many seconds and then at the same
/// interval; two unanswered probes close the connection.
constexpr int kKeepAliveSeconds = 5;
constexpr int kKeepAliveProbes = 2;

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using keep_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_count =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

}  // namespace

void SetLatencyOptions(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(user_timeout(kUserTimeoutMs), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(keep_idle(kKeepAliveSeconds), ignored);
  socket.set_option(keep_interval(kKeepAliveSeconds), ignored);
  socket.set_option(keep_count(kKeepAliveProbes), ignored);
}

}  // namespace plantaintiller::gateway
