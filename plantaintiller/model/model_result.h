#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "plantaintiller/core/statement.h"

namespace plantaintiller::model {

/// Identifies a caller's request in the model; unique within a run.
using request_number = std::uint64_t;

/// Body of a statement: the request that it belongs to and, in a transaction,
/// the request that opened the transaction; otherwise 0.
struct model_body : core::statement_body {
  request_number request = 0;
  request_number transaction = 0;
};

/// Result from a fake server: the request that it answers and, for a read, the
/// writes in the server's log.
struct model_result : core::result_body {
  request_number request = 0;
  std::vector<request_number> seen;
};

/// Returns the body of a statement that was made in the model.
inline const model_body& BodyOf(const core::statement& work) {
  return static_cast<const model_body&>(*work.body);
}

}  // namespace plantaintiller::model
