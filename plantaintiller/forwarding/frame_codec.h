#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "plantaintiller/forwarding/session_frame.h"

namespace plantaintiller::forwarding {

/// Largest size of an encoded batch, in bytes: a caller's largest message and
/// its answer, plus the other frames of the batch.
inline constexpr std::size_t kMaxBatchBytes = std::size_t{4} << 20U;

/// Result of extracting a batch from a buffer of received bytes.
enum class batch_state : std::uint8_t {
  kComplete,
  kIncomplete,
  /// The buffer does not start with a valid batch.
  kMalformed,
};

/// Appends a batch as a length prefix and a Cap'n Proto message.
void AppendBatch(std::string& out, const frame_batch& batch);

/// Extracts the next batch from the front of a buffer.
/// @param buffer received bytes; a complete batch is removed.
/// @param batch set if the buffer starts with a complete batch.
/// @return whether a batch was extracted.
batch_state ExtractBatch(std::string& buffer, frame_batch& batch);

}  // namespace plantaintiller::forwarding
