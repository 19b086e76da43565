#pragma once

#include <optional>
#include <string>

#include "plantaintiller/gateway/peer_state.h"

namespace plantaintiller::gateway {

/// Limit on the size of a state: the platform's limit on a configuration, and
/// the list of servers.
inline constexpr std::uint32_t kMaxStateBytes = 4U << 20U;

/// Encodes state transfers between instances as Cap'n Proto messages with a
/// length prefix.
class state_codec {
 public:
  static std::string EncodeRequest(const state_request& request);
  static std::string EncodeState(const remote_state& state);
  /// @param body message without its length prefix.
  /// @param problem receives a description if the message is malformed.
  /// @return nothing if the message is malformed.
  static std::optional<state_request> DecodeRequest(const std::string& body,
                                                    std::string& problem);
  /// Parameters and result as of `DecodeRequest`.
  static std::optional<remote_state> DecodeState(const std::string& body,
                                                 std::string& problem);
};

}  // namespace plantaintiller::gateway
