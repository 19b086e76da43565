#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "plantaintiller/core/group_record.h"
#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::decisions {

/// Tracks up to which offset the servers of one database have confirmed its log
/// in the current term, and how old the data at a position is.
///
/// The answer to a read or a write may be sent only once the position at which
/// it was produced is confirmed: a position that every confirming server holds
/// in one term survives any later change of primary.
class confirmation_tracker {
 public:
  /// Adopts a record; reports of earlier terms no longer count.
  void AdoptRecord(const core::group_record& record);

  /// Records a server's state.
  /// @param slot server that answered;
  /// @param state its answer;
  /// @param sent_at when the request was sent, on this instance's clock.
  void OnState(core::slot_number slot,
               const core::server_state& state,
               core::time_point sent_at);

  /// Whether the log up to `offset` in `adopted_term` is confirmed.
  bool IsConfirmed(core::term_number adopted_term, std::uint64_t offset) const;

  /// Highest offset that all confirming servers hold in the current term.
  std::uint64_t ConfirmedOffset() const;

  /// Latest time at which the current term is proven to have been the only one
  /// in which writes could be acknowledged.
  core::time_point ValidatedUntil() const;

  /// Whether data at `offset` is proven to include every write acknowledged
  /// before `since`.
  bool ProvesFreshness(std::uint64_t offset, core::time_point since) const;

  /// Offset that suffices to prove freshness: the primary's offset in its first
  /// report at or after `since`.
  /// @return nullopt if there is no such report yet.
  std::optional<std::uint64_t> FreshOffset(core::time_point since) const;

  /// Highest offset reported by a server in the current term.
  /// @return nullopt if there is no report yet.
  std::optional<std::uint64_t> ReportedOffset(core::slot_number slot) const;

  /// Estimated age of a server's data. @return nullopt if it is not known.
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
  // Ring buffer of the primary's offsets over time; `first_sample_` is the
  // oldest. The newest entry is replaced until it is kSampleSpacing later than
  // the one before it.
  std::array<sample, kSamples> samples_{};
  int first_sample_ = 0;
  int sample_count_ = 0;
};

}  // namespace plantaintiller::decisions
