#pragma once

#include "plantaintiller/cli/option_set.h"
#include "plantaintiller/core/error.h"
#include "plantaintiller/http/message.h"

namespace plantaintiller::cli {

/// Makes one HTTP exchange and waits for it.
/// @return the answer, or kUnavailable naming the address.
core::result<http::response> BlockingRequest(const address& server,
                                             const http::request& request);

}  // namespace plantaintiller::cli
