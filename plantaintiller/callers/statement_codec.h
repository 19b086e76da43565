#pragma once

#include <boost/leaf/result.hpp>
#include <string>

#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/session_token.h"
#include "plantaintiller/core/statement.h"
#include "plantaintiller/http/message.h"

namespace plantaintiller::callers {

/// Reason why a request is invalid, as a LEAF error.
struct request_error {
  core::refusal_type type = core::refusal_type::kBadRequest;
  /// Name of the invalid field.
  std::string field;
  /// Describes the allowed values.
  std::string detail;
};

/// A caller's request, parsed and validated.
struct caller_request {
  core::statement work;
  core::session_token token;
  std::string deployment;
};

/// Parses the body of a statement or of a transaction step.
/// @param kind kind of the request; determines which fields are required.
/// @param generated_id request id for a write that has none.
/// @return the request, or a request_error.
boost::leaf::result<caller_request> ParseRequest(
    const std::string& body,
    core::statement_kind kind,
    const core::configuration& configuration,
    const std::string& generated_id,
    core::time_point now);

/// Parses a transaction's name from a path.
/// @return the transaction, or a request_error if the name does not have the
/// form that TransactionName() returns.
boost::leaf::result<core::transaction_id> ParseTransactionName(
    const std::string& name);
/// Name of a transaction in paths and answers.
std::string TransactionName(core::transaction_id transaction);

/// Formats the answer to a request.
http::response FormatOutcome(const caller_request& request,
                             const core::statement_outcome& outcome);
/// Formats the answer to an invalid request.
http::response FormatRequestError(const request_error& error);

}  // namespace plantaintiller::callers
