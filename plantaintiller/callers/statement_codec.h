#pragma once

#include <boost/leaf/result.hpp>
#include <string>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/session_token.h"
#include "plantaintiller/core/statement.h"
#include "plantaintiller/http/message.h"

namespace plantaintiller::callers {

/// What is wrong with a request, as a LEAF error.
struct request_error {
  core::refusal_type type = core::refusal_type::kBadRequest;
  /// Field that is wrong.
  std::string field;
  /// What is allowed.
  std::string detail;
};

/// A caller's request, read and checked.
struct caller_request {
  core::statement work;
  core::session_token token;
  std::string deployment;
};

/// Reads the body of a statement or of a transaction's step.
/// @param kind what the body is for; decides which fields it must have.
/// @param generated_id request id for a write that brings none.
/// @return the request, or a request_error.
boost::leaf::result<caller_request> ParseRequest(
    const std::string& body,
    core::statement_kind kind,
    const core::configuration& configuration,
    const std::string& generated_id,
    core::time_point now);

/// Reads a transaction's name from a path. @return a request_error if it is
/// not one that TransactionName gave.
boost::leaf::result<core::transaction_id> ParseTransactionName(
    const std::string& name);
/// Name of a transaction in paths and answers.
std::string TransactionName(core::transaction_id transaction);

/// Writes the answer to a request.
http::response FormatOutcome(const caller_request& request,
                             const core::statement_outcome& outcome);
/// Writes the refusal of a request that could not be read.
http::response FormatRequestError(const request_error& problem);

}  // namespace plantaintiller::callers
