#include "plantaintiller/decisions/confirmation_tracker.h"

#include <algorithm>
#include <limits>

namespace plantaintiller::decisions {

void confirmation_tracker::AdoptRecord(const core::group_record& record) {
  if (record.term != record_.term) {
    reports_.fill(report());
    sample_count_ = 0;
  }
  record_ = record;
}

void confirmation_tracker::OnState(core::slot_number slot,
                                   const core::server_state& state,
                                   core::time_point sent_at) {
  if (record_.term == 0 || state.adopted_term != record_.term) {
    return;
  }
  report& known = reports_[slot];
  known.offset = known.known ? std::max(known.offset, state.position.offset)
                             : state.position.offset;
  known.sent_at = known.known ? std::max(known.sent_at, sent_at) : sent_at;
  known.known = true;
  if (slot == record_.primary && state.is_primary) {
    AddSample(sent_at, state.position.offset);
  }
}

void confirmation_tracker::AddSample(core::time_point at,
                                     std::uint64_t offset) {
  const auto index = [this](int n) { return (first_sample_ + n) % kSamples; };
  if (sample_count_ > 0 && samples_[index(sample_count_ - 1)].at >= at) {
    return;
  }
  const bool replace_newest =
      sample_count_ >= 2 &&
      at - samples_[index(sample_count_ - 2)].at < kSampleSpacing;
  if (replace_newest) {
    samples_[index(sample_count_ - 1)] = {at, offset};
    return;
  }
  if (sample_count_ == kSamples) {
    first_sample_ = index(1);
    sample_count_ -= 1;
  }
  samples_[index(sample_count_)] = {at, offset};
  sample_count_ += 1;
}

bool confirmation_tracker::IsConfirmed(core::term_number adopted_term,
                                       std::uint64_t offset) const {
  return record_.term != 0 && adopted_term == record_.term &&
         offset <= ConfirmedOffset();
}

std::uint64_t confirmation_tracker::ConfirmedOffset() const {
  std::uint64_t floor = std::numeric_limits<std::uint64_t>::max();
  for (core::slot_number slot = 0; slot < core::kMaxSlots; ++slot) {
    if (!record_.confirming.Contains(slot)) {
      continue;
    }
    if (!reports_[slot].known) {
      return 0;
    }
    floor = std::min(floor, reports_[slot].offset);
  }
  return record_.confirming.Empty() ? 0 : floor;
}

core::time_point confirmation_tracker::ValidatedUntil() const {
  core::time_point until = core::time_point::max();
  for (core::slot_number slot = 0; slot < core::kMaxSlots; ++slot) {
    if (!record_.confirming.Contains(slot)) {
      continue;
    }
    if (!reports_[slot].known) {
      return core::time_point::min();
    }
    until = std::min(until, reports_[slot].sent_at);
  }
  return record_.confirming.Empty() ? core::time_point::min() : until;
}

bool confirmation_tracker::ProvesFreshness(std::uint64_t offset,
                                           core::time_point since) const {
  // No later term was active at `since`, so every write acknowledged before
  // `since` is in the log of this term's primary at any later time.
  if (ValidatedUntil() < since) {
    return false;
  }
  for (int n = 0; n < sample_count_; ++n) {
    const sample& seen = samples_[(first_sample_ + n) % kSamples];
    if (seen.at >= since && seen.offset <= offset) {
      return true;
    }
  }
  return false;
}

std::optional<std::uint64_t> confirmation_tracker::FreshOffset(
    core::time_point since) const {
  for (int n = 0; n < sample_count_; ++n) {
    const sample& seen = samples_[(first_sample_ + n) % kSamples];
    if (seen.at >= since) {
      // Offsets rise with time, so the first matching sample is the lowest.
      return seen.offset;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> confirmation_tracker::ReportedOffset(
    core::slot_number slot) const {
  return reports_[slot].known ? std::optional(reports_[slot].offset)
                              : std::nullopt;
}

std::optional<core::duration> confirmation_tracker::EstimatedAge(
    core::slot_number slot,
    core::time_point now) const {
  if (!reports_[slot].known) {
    return std::nullopt;
  }
  for (int n = sample_count_ - 1; n >= 0; --n) {
    const sample& seen = samples_[(first_sample_ + n) % kSamples];
    if (seen.offset <= reports_[slot].offset) {
      return now - seen.at;
    }
  }
  return std::nullopt;
}

}  // namespace plantaintiller::decisions
