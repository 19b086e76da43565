#pragma once

#include <array>
#include <optional>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::replication {

/// Positions of one group that bound how old a read may be.
///
/// If a request that proves the lead was sent at T and its answer shows
/// position P, then P covers every commit that was acknowledged before T. A
/// server whose log has P is at most `now - T` old, whatever its role.
class leadership_proofs {
 public:
  /// Notes a proof of the lead. @param sent when the request that proves it
  /// was sent; @param position end of the leader's log in the answer.
  void OnProof(core::time_point sent, core::log_position position);

  /// Position that a server must have for a read.
  /// @param not_before commits acknowledged before this time must be seen.
  /// @return the lowest position known to do, as it finds most servers fit;
  /// nothing if there is no proof that recent.
  std::optional<core::log_position> MinPositionSince(
      core::time_point not_before) const;

  /// Position of the newest proof sent by a given time.
  /// @return nothing if there is none that old.
  std::optional<core::log_position> LastPositionBefore(
      core::time_point time) const;

  /// When the newest proof was sent; the epoch if there is none.
  core::time_point LastProofTime() const;

 private:
  struct proof {
    core::time_point sent;
    core::log_position position;
  };
  /// Proofs closer together replace each other: 32 of them then span more than
  /// the longest staleness that routes allow.
  static constexpr core::milliseconds kMinSpacing{100};
  static constexpr std::size_t kMaxProofs = 32;

  const proof& At(std::size_t age) const;

  std::array<proof, kMaxProofs> ring_{};
  std::size_t next_ = 0;
  std::size_t count_ = 0;
};

}  // namespace plantaintiller::replication
