#pragma once

#include <optional>
#include <vector>

#include "plantaintiller/backends/connection.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::backends {

/// Turns an attempt into one batch for a backend server, and the batch's result
/// into the attempt's.
///
/// The statements before the first Sync are one implicit transaction: the term
/// check, the request key and the caller's statement commit together or not at
/// all. What follows reads back the request key and the server's state.
class attempt_batch {
 public:
  /// Statements of an attempt.
  static std::vector<batch_step> Build(const decisions::attempt& work);
  /// Result of an attempt. @param steps as Build made them.
  static decisions::attempt_result Interpret(
      const decisions::attempt& work,
      const std::vector<batch_step>& steps,
      const batch_result& result);

  /// Asks a server for its state.
  static batch_step StateQuery(core::term_number wait_term,
                               std::uint64_t wait_offset,
                               core::milliseconds max_wait);
  /// Reads a state row. @return nothing if it is malformed.
  static std::optional<core::server_state> ParseState(const step_result& row);
};

}  // namespace plantaintiller::backends
