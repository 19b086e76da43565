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

/// Called with the answer; with nothing if none came in time.
using server_command_callback =
    std::function<void(std::optional<sessions::server_reply>)>;

/// Sends one command to one server over the group's pool, ahead of callers'
/// statements.
/// @param bytes encoded command with one answer; @param limit for connection
/// and answer together; @param done called later, once.
void SendServerCommand(boost::asio::io_context& context,
                       connection_pool& pool,
                       const std::string& server,
                       std::string bytes,
                       core::milliseconds limit,
                       server_command_callback done);

}  // namespace plantaintiller::gateway
