#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace plantaintiller::gateway {

/// Sets what every connection on the path of statements needs: no delay of
/// small packets, and discovery of connections that have gone silent.
/// @param socket an open socket; failures to set an option are harmless.
void SetLatencyOptions(boost::asio::ip::tcp::socket& socket);

}  // namespace plantaintiller::gateway
