#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/connection_pool.h"
#include "plantaintiller/sessions/codec.h"

namespace plantaintiller::gateway {

/// Called with the server's reply, or with nothing if none arrived in time.
using server_command_callback =
    std::function<void(std::optional<sessions::server_reply>)>;

/// Sends one command to a server on a connection of the group's pool. It is
/// served before callers' statements.
/// @param bytes encoded command that has one reply.
/// @param timeout time limit for connection and reply together.
/// @param done called once, after this call.
void SendServerCommand(boost::asio::io_context& context,
                       connection_pool& pool,
                       const std::string& server,
                       std::string bytes,
                       core::milliseconds timeout,
                       server_command_callback done);

}  // namespace plantaintiller::gateway
