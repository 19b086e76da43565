#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "plantaintiller/core/group_record.h"
#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::decisions {

/// Tracks how far the servers of one database have confirmed its log in the
/// current term, and how old any position is known to be.
///
/// An answer, of a read or a write, may leave only if the position that it was
/// produced at is confirmed here: a position that every confirming server holds
/// in one term survives each later change of primary.
class confirmation_tracker {
 public:
  /// Takes over a record; reports of earlier terms no longer count.
  void AdoptRecord(const core::group_record& record);

  /// Notes a server's state.
  /// @param slot server that answered; @param state its answer;
  /// @param sent_at when the question was sent, on this instance's clock.
  void OnState(core::slot_number slot,
               const core::server_state& state,
               core::time_point sent_at);

  /// Whether an answer produced at `offset` in `adopted_term` will survive.
  bool IsConfirmed(core::term_number adopted_term, std::uint64_t offset) const;

  /// Highest offset that all confirming servers hold in the current term.
  std::uint64_t ConfirmedOffset() const;

  /// Latest time at which the current term is proved to have been the only one
  /// in which writes could be acknowledged.
  core::time_point ValidatedUntil() const;

  /// Whether data at `offset` is proved to hold all that was acknowledged
  /// before `since`.
  bool ProvesFreshness(std::uint64_t offset, core::time_point since) const;

  /// Offset that suffices to prove freshness: what the primary held at its
  /// first report at or after `since`. @return nothing before there is one.
  std::optional<std::uint64_t> FreshOffset(core::time_point since) const;

  /// Last offset reported by a server in the current term.
  std::optional<std::uint64_t> ReportedOffset(core::slot_number slot) const;

  /// Estimated age of a server's data. @return nothing if it is not known.
  std::optional<core::duration> EstimatedAge(core::slot_number slot,
                                             core::time_point now) const;

 private:
  struct report {
    bool known = false;
    std::uint64_t offset = 0;
    core::time_point sent_at;
  };
  struct sample {
    core::time_point at;
    std::uint64_t offset = 0;
  };
  static constexpr int kSamples = 64;
  static constexpr core::milliseconds kSampleSpacing{100};

  void AddSample(core::time_point at, std::uint64_t offset);

  core::group_record record_;
  std::array<report, core::kMaxSlots> reports_{};
  // Primary's offsets by time, oldest first from `first_sample_`. The newest
  // entry is replaced until it is kSampleSpacing younger than its neighbour.
  std::array<sample, kSamples> samples_{};
  int first_sample_ = 0;
  int sample_count_ = 0;
};

}  // namespace plantaintiller::decisions
