#pragma once

#include <string>
#include <string_view>

#include "plantaintiller/accounts/caller_identity.h"
#include "plantaintiller/sessions/session_ending.h"

namespace plantaintiller::sessions {

/// Receives the answers of a session, for its caller's connection or for the
/// instance that the caller is connected to.
class session_channel {
 public:
  virtual ~session_channel() = default;
  /// Sends bytes of answers.
  virtual void Send(const std::string& bytes) = 0;
  /// Ends the session once the bytes sent before are delivered. The caller
  /// knows of the end from the last answer, or has asked for it.
  virtual void Finish() = 0;
  /// Ends the session although its caller, which waits for no answer, has not
  /// asked for it.
  virtual void EndIdle(session_ending ending) = 0;
};

/// A session served by this instance, which receives the bytes of its caller.
class hosted_session {
 public:
  virtual ~hosted_session() = default;
  /// Opens the session.
  /// @param database name of the database that the caller asked for.
  /// @param identity the caller, as identified where it is connected.
  virtual void Start(const std::string& database,
                     const accounts::caller_identity& identity) = 0;
  /// Called with bytes of the caller. Answers are sent during the call or
  /// later.
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Called when the caller has disconnected; the channel is not used any more.
  virtual void OnCallerDisconnected() = 0;
  /// Ends an open transaction, and refuses from now on whatever would have to
  /// be sent to a server. What was sent is answered first.
  /// @param reason part of the refusals; a string of static storage.
  virtual void RefuseFurtherWork(const char* reason) = 0;
  /// Ends the session as soon as no request is in progress and no transaction
  /// is open.
  virtual void CloseWhenIdle() = 0;
  /// @return whether all received bytes have been answered.
  virtual bool IsFullyAnswered() const = 0;
  /// @return whether a transaction is open.
  virtual bool InTransaction() const = 0;
  /// @return whether the input queue is full, so that nothing more should be
  /// read from the caller.
  virtual bool IsInputFull() const = 0;
};

}  // namespace plantaintiller::sessions
