#pragma once

#include <optional>
#include <vector>

#include "plantaintiller/backends/connection.h"
#include "plantaintiller/decisions/instance_actions.h"

namespace plantaintiller::backends {

/// Converts an attempt to a batch of statements for a backend server, and the
/// result of the batch to the result of the attempt.
///
/// The statements before the first Sync are one implicit transaction: the term
/// check, the request key and the caller's statement commit together or not at
/// all. The steps after it read the stored request key and the server's state.
class attempt_batch {
 public:
  /// Builds the steps of an attempt.
  static std::vector<batch_step> Build(const decisions::attempt& work);
  /// Derives the result of an attempt.
  /// @param steps as Build() returned them for the attempt.
  /// @param result result of the batch of these steps.
  static decisions::attempt_result Interpret(
      const decisions::attempt& work,
      const std::vector<batch_step>& steps,
      const batch_result& result);

  /// Step that queries a server's state. The server may delay its answer until
  /// it has reached `wait_offset` in `wait_term`, for `max_wait` at most.
  static batch_step StateQuery(core::term_number wait_term,
                               std::uint64_t wait_offset,
                               core::milliseconds max_wait);
  /// Parses the result of a StateQuery() step.
  /// @return std::nullopt if it is malformed.
  static std::optional<core::server_state> ParseState(const step_result& row);
};

}  // namespace plantaintiller::backends
