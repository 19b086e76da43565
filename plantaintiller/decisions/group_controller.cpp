#include "plantaintiller/decisions/group_controller.h"

#include <algorithm>

namespace plantaintiller::decisions {

group_controller::group_controller(core::database_id database,
                                   core::slot_number servers,
                                   const group_controller_settings& settings,
                                   const injected_defects& defects,
                                   instance_actions& actions,
                                   std::uint64_t seed)
    : database_(database),
      servers_(servers),
      settings_(settings),
      defects_(defects),
      actions_(actions),
      random_(seed) {}

void group_controller::Adopt(const core::group_record& record) {
  if (record.version <= record_.version) {
    return;
  }
  const bool new_term = record.term != record_.term;
  record_ = record;
  tracker_.AdoptRecord(record);
  if (new_term) {
    needed_offset_ = 0;
    for (core::slot_number slot = 0; slot < servers_; ++slot) {
      members_[slot].caught_up_since.reset();
      members_[slot].lagging_since.reset();
      members_[slot].last_role_command = core::time_point();
      if (members_[slot].known) {
        // An earlier answer still counts if the server had already adopted the
        // term.
        tracker_.OnState(slot, members_[slot].state, members_[slot].last_seen);
      }
    }
  }
  actions_.LogDecision({decision_kind::kAdoptRecord,
                        {database_, record.primary},
                        core::instance_id(),
                        record.term});
}

void group_controller::OnRecordRead(
    const std::optional<core::group_record>& record,
    core::time_point now) {
  request_outstanding_ = false;
  failures_ = 0;
  read_needed_ = false;
  // The row settles a proposal of unknown outcome: either it was applied, or
  // the row version check refuses it if it arrives late.
  if (record.has_value()) {
    Adopt(*record);
  } else {
    ProposeFirstRecord(now);
  }
}

void group_controller::OnRecordUnavailable(core::time_point now) {
  request_outstanding_ = false;
  failures_ += 1;
  next_request_at_ = now + Backoff();
}

void group_controller::OnCompareAndSet(
    compare_and_set_status status,
    const std::optional<core::group_record>& current,
    core::time_point now) {
  request_outstanding_ = false;
  switch (status) {
    case compare_and_set_status::kApplied:
    case compare_and_set_status::kConflict:
      failures_ = 0;
      if (current.has_value()) {
        Adopt(*current);
      } else {
        read_needed_ = true;
      }
      return;
    case compare_and_set_status::kUnavailable:
      break;
    case compare_and_set_status::kUnknown:
      read_needed_ = true;
      break;
  }
  failures_ += 1;
  next_request_at_ = now + Backoff();
}

core::duration group_controller::Backoff() {
  const int doublings = std::min(failures_ - 1, 4);
  const core::milliseconds ceiling = std::min(
      settings_.retry_delay * (1 << doublings), settings_.max_retry_delay);
  std::uniform_int_distribution<std::int64_t> jitter(ceiling.count() / 2,
                                                     ceiling.count());
  return core::milliseconds(jitter(random_));
}

void group_controller::OnState(core::slot_number slot,
                               const core::server_state& state,
                               core::time_point sent_at,
                               core::time_point now) {
  member& server = members_[slot];
  if (server.known && state.adopted_term < server.state.adopted_term) {
    // A newer answer has arrived before this one.
    return;
  }
  if (!server.known || state.adopted_term > server.state.adopted_term ||
      state.position >= server.state.position) {
    server.state = state;
  }
  server.known = true;
  server.last_seen = now;
  server.refused_since.reset();
  tracker_.OnState(slot, state, sent_at);
  OnTermSeen(state.adopted_term);
}

void group_controller::OnTermSeen(core::term_number term) {
  if (term > record_.term) {
    read_needed_ = true;
  }
}

void group_controller::OnConnectionRefused(core::slot_number slot,
                                           core::time_point now) {
  if (!members_[slot].refused_since.has_value()) {
    members_[slot].refused_since = now;
  }
}

void group_controller::OnPeerReport(core::slot_number slot,
                                    core::time_point answered_at) {
  members_[slot].last_seen_by_peer =
      std::max(members_[slot].last_seen_by_peer, answered_at);
}

bool group_controller::IsAlive(core::slot_number slot,
                               core::time_point now) const {
  const member& server = members_[slot];
  return server.known && now - server.last_seen < settings_.failure_timeout;
}

core::time_point group_controller::LastSeen(core::slot_number slot) const {
  return members_[slot].last_seen;
}

bool group_controller::SeenByPeers(core::slot_number slot,
                                   core::time_point now) const {
  return now - members_[slot].last_seen_by_peer < settings_.failure_timeout;
}

bool group_controller::HasFailed(core::slot_number slot,
                                 core::time_point now) const {
  const member& server = members_[slot];
  const core::duration rank_delay = settings_.rank_delay * rank_;
  const bool process_down =
      server.refused_since.has_value() &&
      server.last_seen_by_peer < *server.refused_since &&
      now - *server.refused_since >=
          settings_.connection_refused_timeout + rank_delay;
  const bool unresponsive =
      now - server.last_seen >= settings_.failure_timeout + rank_delay &&
      !SeenByPeers(slot, now);
  return process_down || unresponsive;
}

bool group_controller::IsPrimaryReady() const {
  const member& primary = members_[record_.primary];
  return record_.term != 0 && primary.known &&
         primary.state.adopted_term == record_.term;
}

void group_controller::OnConfirmationNeeded(std::uint64_t offset,
                                            core::time_point now) {
  needed_offset_ = std::max(needed_offset_, offset);
  UpdateProgress(now);
}

void group_controller::UpdateProgress(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    member& checked = members_[slot];
    const std::optional<std::uint64_t> offset = tracker_.ReportedOffset(slot);
    const std::uint64_t reached = offset.value_or(0);
    if (reached >= needed_offset_) {
      checked.lagging_since.reset();
    } else if (!checked.lagging_since.has_value() ||
               reached >= checked.awaited_offset) {
      // The lag is timed per offset: a member that follows a steady stream of
      // writes is always behind, but it reaches each single offset soon.
      checked.lagging_since = now;
      checked.awaited_offset = needed_offset_;
    }
    const std::optional<core::duration> age = tracker_.EstimatedAge(slot, now);
    const bool close =
        IsAlive(slot, now) && age.has_value() && *age <= settings_.max_join_age;
    if (!close) {
      checked.caught_up_since.reset();
    } else if (!checked.caught_up_since.has_value()) {
      checked.caught_up_since = now;
    }
  }
}

void group_controller::OnTick(core::time_point now) {
  if (!started_) {
    // Servers that have not answered yet get a full timeout before they count
    // as failed.
    started_ = true;
    for (core::slot_number slot = 0; slot < servers_; ++slot) {
      members_[slot].last_seen = now;
    }
  }
  UpdateProgress(now);
  if (record_.term != 0) {
    SendRoleCommands(now);
  }
  if (request_outstanding_ || now < next_request_at_) {
    return;
  }
  if (read_needed_) {
    ReadRecord(now);
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

void group_controller::ReadRecord(core::time_point now) {
  request_outstanding_ = true;
  next_request_at_ = now + settings_.retry_delay;
  actions_.ReadGroupRecord(database_);
}

void group_controller::Propose(core::group_record record,
                               decision_kind kind,
                               core::slot_number subject,
                               core::time_point now) {
  record.nonce = random_();
  request_outstanding_ = true;
  next_request_at_ = now + settings_.retry_delay;
  actions_.LogDecision(
      {kind, {database_, subject}, core::instance_id(), record.term});
  actions_.CompareAndSetGroupRecord(database_, record);
}

void group_controller::ProposeFirstRecord(core::time_point now) {
  core::group_record first;
  first.term = 1;
  first.primary = 0;
  first.confirming = core::server_set::FirstSlots(servers_);
  first.promotable = first.confirming;
  Propose(first, decision_kind::kProposeFirstRecord, first.primary, now);
}

bool group_controller::ProposePromotion(core::time_point now) {
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

bool group_controller::ProposeShrink(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    const member& lagging = members_[slot];
    if (slot == record_.primary || !record_.confirming.Contains(slot)) {
      continue;
    }
    // A member cannot catch up with a primary that has failed, so its delay is
    // counted only up to the primary's last answer.
    const bool too_slow =
        lagging.lagging_since.has_value() &&
        members_[record_.primary].last_seen - *lagging.lagging_since >=
            settings_.confirmation_timeout + settings_.rank_delay * rank_;
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

bool group_controller::ProposeAdmit(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    const member& joined = members_[slot];
    const bool awaits_admission = record_.confirming.Contains(slot)
                                      ? !record_.promotable.Contains(slot)
                                      : defects_.grow_one_set_later;
    const bool has_first_entry =
        joined.known && joined.state.adopted_term == record_.term &&
        joined.state.position.entry_term == record_.term;
    if (!awaits_admission || !has_first_entry) {
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

bool group_controller::ProposeGrow(core::time_point now) {
  if (!(record_.confirming == record_.promotable)) {
    return false;
  }
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    const member& joining = members_[slot];
    const bool keeps_up =
        joining.caught_up_since.has_value() &&
        now - *joining.caught_up_since >=
            settings_.join_delay + settings_.rank_delay * rank_;
    if (record_.confirming.Contains(slot) || leaving_.Contains(slot) ||
        !keeps_up) {
      continue;
    }
    core::group_record next = record_;
    if (!defects_.grow_without_term) {
      next.term += 1;
    }
    if (!defects_.grow_one_set_later) {
      next.confirming = record_.confirming.With(slot);
    }
    if (defects_.grow_without_term) {
      next.promotable = record_.promotable.With(slot);
    }
    Propose(next, decision_kind::kProposeGrow, slot, now);
    return true;
  }
  return false;
}

void group_controller::SendRoleCommands(core::time_point now) {
  for (core::slot_number slot = 0; slot < servers_; ++slot) {
    member& target = members_[slot];
    const bool behind =
        target.known && target.state.adopted_term < record_.term;
    const bool may_follow = slot == record_.primary || IsPrimaryReady();
    if (!behind || !may_follow ||
        now - target.last_role_command < settings_.retry_delay) {
      continue;
    }
    target.last_role_command = now;
    actions_.SendRoleCommand(
        {{database_, slot}, record_.term, record_.primary});
  }
}

}  // namespace plantaintiller::decisions
