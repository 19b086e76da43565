#pragma once

#include <array>
#include <optional>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::replication {

/// Leadership proofs of one group, which bound the staleness of reads.
///
/// If a request that proves leadership was sent at time T and its answer shows
/// log position P, every commit acknowledged before T is at or before P. The
/// data of a server whose log contains P is therefore at most `now - T` old,
/// whether the server is the leader or a replica.
class leadership_proofs {
 public:
  /// Records a leadership proof.
  /// @param sent time at which the proving request was sent.
  /// @param position end of the leader's log, as in the answer.
  void OnProof(core::time_point sent, core::log_position position);

  /// Finds the position that a server must have reached to serve a read.
  /// @param not_before the read must see the commits acknowledged before this
  /// time.
  /// @return the lowest sufficient position, because it makes the most servers
  /// eligible; nothing if no proof was sent at or after `not_before`.
  std::optional<core::log_position> MinPositionSince(
      core::time_point not_before) const;

  /// @return the position of the newest proof sent at or before a given time;
  /// nothing if all proofs are newer.
  std::optional<core::log_position> LastPositionBefore(
      core::time_point time) const;

  /// @return the position of the newest proof; nothing if there is none.
  std::optional<core::log_position> NewestPosition() const;

  /// @return the time at which the newest proving request was sent; the epoch
  /// if there is none.
  core::time_point LastProofTime() const;

 private:
  struct proof {
    core::time_point sent;
    core::log_position position;
  };
  /// Proofs closer together replace each other, so that `kMaxProofs` of them
  /// span more than the longest staleness that routes allow.
  static constexpr core::milliseconds kMinSpacing{100};
  static constexpr std::size_t kMaxProofs = 32;

  /// @param age 0 for the newest proof, 1 for the one before it, and so on.
  const proof& At(std::size_t age) const;

  std::array<proof, kMaxProofs> ring_{};
  std::size_t next_ = 0;
  std::size_t count_ = 0;
};

}  // namespace plantaintiller::replication
