#pragma once

#include <optional>
#include <string>

#include "plantaintiller/core/time.h"

namespace plantaintiller::accounts {

/// Limits the operations of each client account over all instances.
///
/// An operation is a single statement that goes to a server, or a transaction,
/// which is counted once, at its first statement that goes to a server.
class operation_limiter {
 public:
  virtual ~operation_limiter() = default;
  /// Counts one operation if the limit of its account allows it now. An
  /// operation that is not admitted is not counted. Called before anything of
  /// the operation is sent to a server; an attempt that is repeated is counted
  /// once more only if the one before may have reached a server.
  /// @param account name of the account; empty for callers without an account,
  /// which have no limit.
  /// @param now present time of the steady clock.
  /// @return nothing if the operation is admitted; otherwise the time after
  /// which the caller may come back.
  virtual std::optional<core::duration> Admit(const std::string& account,
                                              core::time_point now) = 0;
};

}  // namespace plantaintiller::accounts
