#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "plantaintiller/accounts/caller_identity.h"

namespace plantaintiller::forwarding {

/// Kind of a session frame.
enum class frame_kind : std::uint8_t {
  /// Opens a session for a caller; the bytes are the name of its database.
  kOpen,
  /// Bytes from the caller, or answers to it.
  kData,
  /// The caller has disconnected.
  kCallerDisconnected,
  /// Requests that nothing more of the session is sent to a server.
  kRefuseFurtherWork,
  /// The session ended at the serving instance. If the caller does not expect
  /// it, the bytes are a failure that tells the caller.
  kClosed,
  /// The session was not accepted; the caller's instance should try another
  /// instance.
  kRefused,
};

/// A message about one forwarded session.
struct session_frame {
  /// Number assigned by the caller's instance, unique on the link.
  std::uint64_t session = 0;
  frame_kind kind = frame_kind::kData;
  std::string bytes;
  /// On kOpen where there are client accounts: the caller; the key itself is
  /// not passed on.
  accounts::caller_identity identity;
  /// From the serving instance: number of the caller's bytes that have been
  /// answered so far.
  std::uint64_t answered_bytes = 0;
  /// From the serving instance: whether a transaction is open.
  bool in_transaction = false;
  friend bool operator==(const session_frame&, const session_frame&) = default;
};

/// Frames that are sent together.
struct frame_batch {
  /// Version of the configuration in force at the sender.
  std::uint64_t configuration_version = 0;
  /// Asks the receiver to send a batch at once, which shows that it is alive.
  bool ping = false;
  std::vector<session_frame> frames;
  friend bool operator==(const frame_batch&, const frame_batch&) = default;
};

}  // namespace plantaintiller::forwarding
