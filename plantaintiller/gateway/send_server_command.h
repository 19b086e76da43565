#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
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

/// What the answer to a command is used for.
enum class answer_use : std::uint8_t {
  /// Decisions rely on it. The command is sent again if the answer may be one
  /// of an earlier command; it must have the same effect twice.
  kDecides,
  /// Nothing relies on it, and the command is sent only once.
  kIgnored,
};

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
                       answer_use use,
                       server_command_callback done);

}  // namespace plantaintiller::gateway
