#pragma once

#include "plantaintiller/cli/option_set.h"
#include "plantaintiller/core/error.h"
#include "plantaintiller/http/message.h"

namespace plantaintiller::cli {

/// Sends one HTTP request and blocks until the answer arrives or the request
/// times out.
/// @return the answer, or kUnavailable with the server's address.
core::result<http::response> BlockingRequest(const address& server,
                                             const http::request& request);

}  // namespace plantaintiller::cli
