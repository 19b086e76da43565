#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "plantaintiller/forwarding/session_frame.h"

namespace plantaintiller::forwarding {

/// Largest batch on the wire: a caller's largest message and its answer, with
/// room for what travels beside them.
inline constexpr std::size_t kMaxBatchBytes = std::size_t{4} << 20U;

/// What a buffer of received bytes holds.
enum class batch_state : std::uint8_t {
  kComplete,
  kIncomplete,
  /// What follows cannot be read.
  kMalformed,
};

/// Appends a batch, as its length and a Cap'n Proto message.
void AppendBatch(std::string& out, const frame_batch& batch);

/// Takes the next batch off the front of a buffer.
/// @param buffer bytes received; a complete batch is removed.
/// @param batch filled if one is complete.
batch_state ExtractBatch(std::string& buffer, frame_batch& batch);

}  // namespace plantaintiller::forwarding
