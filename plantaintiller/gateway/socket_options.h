#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace plantaintiller::gateway {

/// Sets the options of sockets that carry statements: no delay of small
/// packets, and detection of connections whose peer no longer responds.
/// @param socket an open socket; failures to set an option are ignored, because
/// they are harmless.
void SetLatencyOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace plantaintiller::gateway
