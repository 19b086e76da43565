#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "plantaintiller/core/time.h"

namespace plantaintiller::store {

/// Result of a call to promote a server.
enum class promotion_status : std::uint8_t {
  /// Accepted; the server becomes the leader shortly.
  kAccepted,
  /// A higher token was used for this group, or the server is not running.
  kSuperseded,
  /// Nothing was done.
  kRefused,
  /// No answer: the promotion may still be carried out later.
  kUnknown,
};

/// @return the name of a result in logs and metrics, a string of static
/// storage.
constexpr const char* PromotionStatusName(promotion_status status) {
  switch (status) {
    case promotion_status::kAccepted:
      return "accepted";
    case promotion_status::kSuperseded:
      return "superseded";
    case promotion_status::kRefused:
      return "refused";
    case promotion_status::kUnknown:
      return "unanswered";
  }
  return "unanswered";
}

/// How a call to promote a server ended.
struct promotion_result {
  promotion_status status = promotion_status::kRefused;
  /// Time from the call until the order was written to the connection, or until
  /// its end if it was not written.
  core::milliseconds queued{0};
};

/// An order to make a server the leader of its group.
struct promotion_order {
  std::string group;
  std::string server;
  /// Name of the instance that gives the order.
  std::string holder;
  /// Fencing token, increased with each holder.
  std::uint64_t token = 0;
  /// The order must not reach the platform later than this after the call: the
  /// claim under which it was given has then lapsed.
  core::milliseconds valid_for{0};
};

/// Longest wait for the answer to a promotion: several round trips between
/// regions. A call without an answer may still be carried out later, so the
/// wait is short and a call with a higher token then fences it off.
inline constexpr core::milliseconds kPromotionTimeout{300};

/// The platform's service that makes a server the leader of its group.
class promotion_service {
 public:
  virtual ~promotion_service() = default;
  /// Promotes a server to leader of its group. Orders do not wait for each
  /// other.
  /// @param done receives the result, later than the call.
  virtual void Promote(const promotion_order& order,
                       std::function<void(promotion_result)> done) = 0;
};

}  // namespace plantaintiller::store
