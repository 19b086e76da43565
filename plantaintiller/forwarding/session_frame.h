#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace plantaintiller::forwarding {

/// What a frame says of its session.
enum class frame_kind : std::uint8_t {
  /// A caller's session starts; the bytes name its database.
  kOpen,
  /// Bytes of the caller, or for it.
  kData,
  /// The caller has left.
  kCallerDisconnected,
  /// An open transaction is to be given up.
  kAbandonTransaction,
  /// The session ended at the serving instance.
  kClosed,
  /// The session was not taken; another instance should be asked.
  kRefused,
};

/// News of one forwarded session.
struct session_frame {
  /// Drawn by the caller's instance, unique on the link.
  std::uint64_t session = 0;
  frame_kind kind = frame_kind::kData;
  std::string bytes;
  /// From the serving instance: bytes of the caller that were answered so far.
  std::uint64_t answered_bytes = 0;
  /// From the serving instance: whether a transaction is open.
  bool in_transaction = false;
  friend bool operator==(const session_frame&, const session_frame&) = default;
};

/// Frames that travel together.
struct frame_batch {
  /// Version of the configuration that the sender has in force.
  std::uint64_t configuration_version = 0;
  /// Asks for a batch at once, as a sign of life.
  bool ping = false;
  std::vector<session_frame> frames;
  friend bool operator==(const frame_batch&, const frame_batch&) = default;
};

}  // namespace plantaintiller::forwarding
