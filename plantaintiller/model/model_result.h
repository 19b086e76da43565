#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "plantaintiller/core/statement.h"

namespace plantaintiller::model {

/// Identifies a caller's request in the model; unique over a run.
using request_number = std::uint64_t;

/// Statement of the model: its caller's request, and for a transaction the
/// request that opened it.
struct model_body : core::statement_body {
  request_number request = 0;
  request_number transaction = 0;
};

/// Answer of a fake server: whose request it was, and the writes that it saw.
struct model_result : core::result_body {
  request_number request = 0;
  std::vector<request_number> seen;
};

inline const model_body& BodyOf(const core::statement& work) {
  return static_cast<const model_body&>(*work.body);
}

}  // namespace plantaintiller::model
