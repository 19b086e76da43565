#pragma once

#include <string>
#include <string_view>

namespace plantaintiller::sessions {

/// Where the answers of a session go: its caller's connection, or the instance
/// that the caller is connected to.
class session_channel {
 public:
  virtual ~session_channel() = default;
  virtual void Send(const std::string& bytes) = 0;
  /// Ends the session after what was sent.
  virtual void Finish() = 0;
};

/// A session that this instance serves, fed with the bytes of its caller.
class hosted_session {
 public:
  virtual ~hosted_session() = default;
  /// Opens the session as the caller asked. @param database its database.
  virtual void Start(const std::string& database) = 0;
  /// Bytes of the caller. Answers come during the call or later.
  virtual void OnBytes(std::string_view bytes) = 0;
  /// The caller has left; the channel is not used any more.
  virtual void OnCallerDisconnected() = 0;
  /// Ends an open transaction; its next statement is refused.
  virtual void AbandonTransaction(const char* reason) = 0;
  /// Ends the session as soon as no request and no transaction is open.
  virtual void CloseWhenIdle() = 0;
  /// Whether every byte received was answered.
  virtual bool IsSettled() const = 0;
  /// Whether a transaction is open.
  virtual bool InTransaction() const = 0;
  /// Whether enough is queued, so that the caller should be made to wait.
  virtual bool IsFull() const = 0;
};

}  // namespace plantaintiller::sessions
