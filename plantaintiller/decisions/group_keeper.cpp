#include "plantaintiller/decisions/group_keeper.h"

#include <algorithm>

namespace plantaintiller::decisions {

group_keeper::group_keeper(core::database_id database,
                           core::slot_number servers,
                           const group_keeper_settings& settings,
                           const planted_faults& faults,
                           instance_actions& actions,
                           std::uint64_t seed)
    : database_(database),
      servers_(servers),
      settings_(settings),
      faults_(faults),
      actions_(actions),
      random_(seed) {}

void group_keeper::Adopt(const core::group_record& record) {
  if (record.version <= record_.version) {
    return;
  }
  const bool new_term = record.term != record_.term;
  record_ = record;
  tracker_.AdoptRecord(record);
  if (new_term) {
    needed_offset_ = 0;
    for (core::slot_number slot = 0; slot < servers_; ++slot) {
      members_[slot].close_since.reset();
      members_[slot].behind_since.reset();
      members_[slot].last_order = core::time_point();
      if (members_[slot].known) {
        // The answer still counts if the server had adopted the term already.
        tracker_.OnState(slot, members_[slot].state, members_[slot].last_heard);
      }
    }
  }
  actions_.NoteDecision({decision_kind::kAdoptRecord,
                         {database_, record.primary},
                         core::instance_id(),
                         record.term});
}

void group_keeper::OnRow(const std::optional<core::group_record>& record,
                         core::time_point now) {
  platform_busy_ = false;
  failures_ = 0;
  row_wanted_ = false;
  // Whatever the row holds settles a proposal of unknown fate: it is there, or
  // a late effect would be refused by the version.
  if (record.has_value()) {
    Adopt(*record);
  } else {
    ProposeFirstRecord(now);
  }
}

void group_keeper::OnRowUnavailable(core::time_point now) {
  platform_busy_ = false;
  failures_ += 1;
  next_access_ = now + Backoff();
}

void group_keeper::OnSwap(swap_status status,
                          const std::optional<core::group_record>& current,
                          core::time_point now) {
  platform_busy_ = false;
  switch (status) {
    case swap_status::kApplied:
    case swap_status::kConflict:
      failures_ = 0;
      if (current.has_value()) {
        Adopt(*current);
      } else {
        row_wanted_ = true;
      }
      return;
    case swap_status::kUnavailable:
      break;
    case swap_status::kUnknown:
      row_wanted_ = true;
      break;
  }
  failures_ += 1;
  next_access_ = now + Backoff();
}

core::duration group_keeper::Backoff() {
  const int doublings = std::min(failures_ - 1, 4);
  const core::milliseconds ceiling = std::min(
      settings_.retry_delay * (1 << doublings), settings_.longest_retry_delay);
  std::uniform_int_distribution<std::int64_t> jitter(ceiling.count() / 2,
                                                     ceiling.count());
  return core::milliseconds(jitter(random_));
}

void group_keeper::OnState(core::slot_number slot,
                           const core::server_state& state,
                           core::time_point sent_at,
                           core::time_point now) {
  member& heard = members_[slot];
  if (heard.known && state.adopted_term < heard.state.adopted_term) {
    // An answer overtaken by a newer one.
    return;
  }
  if (!heard.known || state.adopted_term > heard.state.adopted_term ||
      state.position >= heard.state.position) {
    heard.state = state;
  }
  heard.known = true;
  heard.last_heard = now;
  heard.refused_since.reset();
  tracker_.OnState(slot, state, sent_at);
  OnTermSeen(state.adopted_term);
}

void group_keeper::OnTermSeen(core::term_number term) {
  if (term > record_.term) {
    row_wanted_ = true;
  }
}

void group_keeper::OnRefused(core::slot_number slot, core::time_point now) {
  if (!members_[slot].refused_since.has_value()) {
    members_[slot].refused_since = now;
  }
}

void group_keeper::OnPeerReport(core::slot_number slot,
                                core::time_point heard_at) {
  members_[slot].peer_heard = std::max(members_[slot].peer_heard, heard_at);
}

bool group_keeper::IsAlive(core::slot_number slot, core::time_point now) const {
  const member& asked = members_[slot];
  return asked.known && now - asked.last_heard < settings_.failure_timeout;
}

core::time_point group_keeper::LastHeard(core::slot_number slot) const {
  return members_[slot].last_heard;
}

bool group_keeper::HeardByPeers(core::slot_number slot,
                                core::time_point now) const {
  return now - members_[slot].peer_heard < settings_.failure_timeout;
}

bool group_keeper::HasFailed(core::slot_number slot,
                             core::time_point now) const {
  const member& asked = members_[slot];
  const core::duration by_rank = settings_.rank_delay * rank_;
  const bool gone =
      asked.refused_since.has_value() &&
      asked.peer_heard < *asked.refused_since &&
      now - *asked.refused_since >= settings_.refusal_timeout + by_rank;
  const bool silent =
      now - asked.last_heard >= settings_.failure_timeout + by_rank &&
      !HeardByPeers(slot, now);
  return gone || silent;
}

bool group_keeper::IsPrimaryReady() const {
  const member& primary = members_[record_.primary];
  return record_.term != 0 && primary.known &&
         primary.state.adopted_term == record_.term;
}

void group_keeper::OnConfirmationNeeded(std::uint64_t offset,
                                        core::time_point now) {
  needed_offset_ = std::max(needed_offset_, offset);
  NoteProgress(now);
}

void group_keeper::NoteProgress(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    member& checked = members_[slot];
    const std::optional<std::uint64_t> offset = tracker_.OffsetOf(slot);
    const std::uint64_t reached = offset.value_or(0);
    if (reached >= needed_offset_) {
      checked.behind_since.reset();
    } else if (!checked.behind_since.has_value() ||
               reached >= checked.awaited_offset) {
      // Each offset is timed for itself: a member that follows a steady stream
      // of writes is always behind, but never for long behind any one of them.
      checked.behind_since = now;
      checked.awaited_offset = needed_offset_;
    }
    const std::optional<core::duration> age = tracker_.AgeOf(slot, now);
    const bool close =
        IsAlive(slot, now) && age.has_value() && *age <= settings_.join_age;
    if (!close) {
      checked.close_since.reset();
    } else if (!checked.close_since.has_value()) {
      checked.close_since = now;
    }
  }
}

void group_keeper::OnTick(core::time_point now) {
  if (!started_) {
    // Servers not heard from yet get a full timeout before they count as
    // failed.
    started_ = true;
    for (core::slot_number slot = 0; slot < servers_; ++slot) {
      members_[slot].last_heard = now;
    }
  }
  NoteProgress(now);
  if (record_.term != 0) {
    OrderServers(now);
  }
  if (platform_busy_ || now < next_access_) {
    return;
  }
  if (row_wanted_) {
    ReadRow(now);
    return;
  }
  if (record_.term == 0) {
    return;
  }
  if (ProposePromotion(now)) {
    return;
  }
  if (!IsPrimaryReady()) {
    return;
  }
  if (ProposeShrink(now) || ProposeAdmit(now)) {
    return;
  }
  ProposeGrow(now);
}

void group_keeper::ReadRow(core::time_point now) {
  platform_busy_ = true;
  next_access_ = now + settings_.retry_delay;
  actions_.ReadGroupRecord(database_);
}

void group_keeper::Propose(core::group_record record,
                           decision_kind kind,
                           core::slot_number about,
                           core::time_point now) {
  record.nonce = random_();
  platform_busy_ = true;
  next_access_ = now + settings_.retry_delay;
  actions_.NoteDecision(
      {kind, {database_, about}, core::instance_id(), record.term});
  actions_.SwapGroupRecord(database_, record);
}

void group_keeper::ProposeFirstRecord(core::time_point now) {
  core::group_record first;
  first.term = 1;
  first.primary = 0;
  first.confirming = core::server_set::FirstSlots(servers_);
  first.promotable = first.confirming;
  Propose(first, decision_kind::kProposeFirstRecord, first.primary, now);
}

bool group_keeper::ProposePromotion(core::time_point now) {
  const core::slot_number failed = record_.primary;
  if (!HasFailed(failed, now) && !leaving_.Contains(failed)) {
    return false;
  }
  std::optional<core::slot_number> successor;
  core::server_set survivors;
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    if (!record_.promotable.Contains(slot) || slot == failed ||
        !IsAlive(slot, now) || leaving_.Contains(slot)) {
      continue;
    }
    survivors = survivors.With(slot);
    if (!successor.has_value() ||
        members_[slot].state.position > members_[*successor].state.position) {
      successor = slot;
    }
  }
  if (!successor.has_value()) {
    return false;
  }
  core::group_record next = record_;
  next.term += 1;
  next.primary = *successor;
  next.confirming = survivors;
  next.promotable = survivors;
  Propose(next, decision_kind::kProposePromotion, *successor, now);
  return true;
}

bool group_keeper::ProposeShrink(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    const member& held_up = members_[slot];
    if (slot == record_.primary || !record_.confirming.Contains(slot)) {
      continue;
    }
    // A member cannot catch up with a primary that has died: only what the
    // primary still answers for counts as the member's delay.
    const bool too_slow =
        held_up.behind_since.has_value() &&
        members_[record_.primary].last_heard - *held_up.behind_since >=
            settings_.confirm_patience + settings_.rank_delay * rank_;
    if (!too_slow && !leaving_.Contains(slot)) {
      continue;
    }
    core::group_record next = record_;
    next.confirming = record_.confirming.Without(slot);
    next.promotable = record_.promotable.Without(slot);
    Propose(next, decision_kind::kProposeShrink, slot, now);
    return true;
  }
  return false;
}

bool group_keeper::ProposeAdmit(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    const member& joined = members_[slot];
    const bool awaited = record_.confirming.Contains(slot)
                             ? !record_.promotable.Contains(slot)
                             : faults_.grow_one_set_later;
    const bool has_first_entry =
        joined.known && joined.state.adopted_term == record_.term &&
        joined.state.position.entry_term == record_.term;
    if (!awaited || !has_first_entry) {
      continue;
    }
    core::group_record next = record_;
    next.confirming = record_.confirming.With(slot);
    next.promotable = record_.promotable.With(slot);
    Propose(next, decision_kind::kProposeAdmit, slot, now);
    return true;
  }
  return false;
}

bool group_keeper::ProposeGrow(core::time_point now) {
  if (!(record_.confirming == record_.promotable)) {
    return false;
  }
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    const member& joining = members_[slot];
    const bool keeps_up =
        joining.close_since.has_value() &&
        now - *joining.close_since >=
            settings_.join_after + settings_.rank_delay * rank_;
    if (record_.confirming.Contains(slot) || leaving_.Contains(slot) ||
        !keeps_up) {
      continue;
    }
    core::group_record next = record_;
    if (!faults_.grow_without_term) {
      next.term += 1;
    }
    if (!faults_.grow_one_set_later) {
      next.confirming = record_.confirming.With(slot);
    }
    if (faults_.grow_without_term) {
      next.promotable = record_.promotable.With(slot);
    }
    Propose(next, decision_kind::kProposeGrow, slot, now);
    return true;
  }
  return false;
}

void group_keeper::OrderServers(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    member& ordered = members_[slot];
    const bool behind =
        ordered.known && ordered.state.adopted_term < record_.term;
    const bool may_follow = slot == record_.primary || IsPrimaryReady();
    if (!behind || !may_follow ||
        now - ordered.last_order < settings_.retry_delay) {
      continue;
    }
    ordered.last_order = now;
    actions_.OrderServer({{database_, slot}, record_.term, record_.primary});
  }
}

}  // namespace plantaintiller::decisions
