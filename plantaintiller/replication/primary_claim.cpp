// The claim under which a change of primary runs. The rest of the class is in
// primary_change.cpp.

#include <algorithm>
#include <utility>

#include "plantaintiller/replication/primary_change.h"

namespace plantaintiller::replication {

namespace {

/// Bits of a token below the era of the store.
constexpr int kTokenEraShift = 32;
/// Stands for the server of a promotion that another instance has ordered.
constexpr const char* kUnknownServer = "?";

}  // namespace

void primary_change::Claim() {
  step_ = step::kClaiming;
  // Releasing the holds may need another claim after the preparation.
  const core::duration limit =
      settings_.preparation_limit * (releasing_holds_ ? 2 : 1);
  if (host_.Now() - started_ > limit) {
    Abandon("claim_time");
    return;
  }
  const std::uint64_t round = ++request_round_;
  const core::time_point read_at = host_.Now();
  const core::duration suspended = host_.SuspendedTime();
  recording_ = false;
  record_round_ += 1;
  host_.ReadClaim(group_.Name(), [this, round, read_at, suspended](
                                     std::optional<group_claim> claim,
                                     core::milliseconds store_now) {
    if (round == request_round_ && step_ == step::kClaiming) {
      OnClaim(std::move(claim), store_now, {read_at, suspended});
    }
  });
}

void primary_change::OnClaimSeen(store::row_version version) {
  if (version != seen_version_) {
    seen_version_ = version;
    seen_at_ = host_.Now();
  }
}

bool primary_change::HasExpired(const group_claim& claim,
                                core::milliseconds store_now) const {
  if (settings_.injected_defects.trust_store_clock &&
      store_now < claim.claimed_at) {
    return true;
  }
  // The store's clock has gone back if it is behind the claim. Only the time
  // for which this instance has seen the row then tells its age.
  const core::duration age = store_now < claim.claimed_at
                                 ? host_.Now() - seen_at_
                                 : store_now - claim.claimed_at;
  return age >= settings_.claim_validity;
}

std::string primary_change::DescribeClaim(const group_claim& claim,
                                          core::milliseconds store_now) const {
  if (claim.version == 0) {
    return "no claim";
  }
  const core::milliseconds seen = core::ToMilliseconds(host_.Now() - seen_at_);
  return claim.holder + " token " + std::to_string(claim.token) +
         (claim.settled ? " settled" : "") + " age_ms " +
         std::to_string((store_now - claim.claimed_at).count()) + " seen_ms " +
         std::to_string(seen.count());
}

void primary_change::OnClaim(std::optional<group_claim> claim,
                             core::milliseconds store_now,
                             const read_time& read) {
  if (!claim.has_value()) {
    host_.SetTimer(group_.Name(), settings_.retry_pause);
    return;
  }
  OnEraSeen(claim->era);
  OnClaimSeen(claim->version);
  if (claim->nonce == nonce_ && nonce_ != 0) {
    // An earlier write of this instance was done although its answer was lost.
    token_ = claim->token;
    claim_ = *claim;
    QueryServers(step::kQuerying);
    return;
  }
  if (era_raised_ != core::time_point() &&
      host_.Now() - era_raised_ < settings_.claim_validity &&
      !settings_.injected_defects.ignore_era) {
    // The store may have lost a claim that its holder still relies on.
    host_.SetTimer(group_.Name(), settings_.retry_pause);
    return;
  }
  const bool claimed_by_other =
      claim->version > 0 && claim->holder != settings_.holder &&
      !claim->settled && !HasExpired(*claim, store_now);
  if (claimed_by_other) {
    Abandon("claimed_by_another " + DescribeClaim(*claim, store_now));
    return;
  }
  replaced_claim_ = DescribeClaim(*claim, store_now);
  if (claim->holder != settings_.holder) {
    demoted_.reset();
  }
  if (claim->settled && claim->token > token_) {
    // Its holder has had a promotion accepted under a higher token.
    orders_.Clear();
  } else if (claim->token > 0 && !claim->settled &&
             claim->holder != settings_.holder) {
    AddOrdersOf(*claim, store_now);
  }
  if (settings_.injected_defects.reuse_token && claim->token > 0) {
    token_ = claim->token;
    QueryServers(step::kQuerying);
    return;
  }
  group_claim next = *claim;
  // Tokens given out in an earlier era may be missing in the row. The era in
  // the high bits makes each new token larger than all of them.
  const std::uint64_t first =
      settings_.injected_defects.ignore_era ? 0 : claim->era << kTokenEraShift;
  next.token = std::max({claim->token, first, token_}) + 1;
  next.holder = settings_.holder;
  next.nonce = host_.DrawNonce();
  // Not earlier than the present time of the store, as the row was read since.
  next.claimed_at =
      store_now + core::ToMilliseconds(host_.Now() - read.at +
                                       host_.SuspendedTime() - read.suspended);
  next.settled = false;
  if (!next.candidates.has_value()) {
    next.candidates.emplace();
    if (claim->version > 0 && !claim->settled) {
      // The next holder must not take an unknown order for none.
      (*next.candidates)[kUnknownServer] = store_now;
    }
  }
  nonce_ = next.nonce;
  claim_read_ = {host_.Now(), host_.SuspendedTime()};
  const std::uint64_t round = ++request_round_;
  host_.WriteClaim(group_.Name(), next,
                   [this, round, next](store::call_status status,
                                       store::row_version version) mutable {
                     if (round == request_round_ && step_ == step::kClaiming) {
                       next.version = version;
                       OnClaimWritten(next, status);
                     }
                   });
}

void primary_change::AddOrdersOf(const group_claim& claim,
                                 core::milliseconds store_now) {
  if (!claim.candidates.has_value()) {
    orders_.Inherit(kUnknownServer, host_.Now(), OrderLifetime());
    return;
  }
  for (const auto& [server, given] : *claim.candidates) {
    const core::milliseconds age =
        std::max(store_now - given, core::milliseconds(0));
    orders_.Inherit(server, host_.Now() - age, OrderLifetime());
  }
}

bool primary_change::IsRecorded(const std::string& server) const {
  return settings_.injected_defects.skip_record ||
         (claim_.candidates.has_value() && claim_.candidates->contains(server));
}

void primary_change::Record(const std::string& server) {
  if (recording_ || IsRecorded(server)) {
    return;
  }
  group_claim next = claim_;
  // The write succeeds only if this instance still has the claim, so that it
  // renews the claim as well.
  next.claimed_at += core::ToMilliseconds(ClaimAge());
  next.candidates.emplace();
  for (const auto& [server, given] : orders_.LatestByServer()) {
    (*next.candidates)[server] =
        next.claimed_at - core::ToMilliseconds(host_.Now() - given);
  }
  // The order can be given until the claim lapses.
  (*next.candidates)[server] = next.claimed_at + settings_.claim_validity;
  recording_ = true;
  const read_time renewed{host_.Now(), host_.SuspendedTime()};
  const std::uint64_t round = ++record_round_;
  host_.WriteClaim(
      group_.Name(), next,
      [this, round, next, renewed](store::call_status status,
                                   store::row_version version) mutable {
        if (round == record_round_ && recording_) {
          next.version = version;
          OnRecorded(next, renewed, status);
        }
      });
}

void primary_change::OnRecorded(const group_claim& claim,
                                const read_time& renewed,
                                store::call_status status) {
  recording_ = false;
  const bool is_waiting = step_ == step::kRecording || step_ == step::kFencing;
  if (status == store::call_status::kDone) {
    OnEraSeen(store::EraOf(claim.version));
    claim_ = claim;
    claim_read_ = renewed;
    if (step_ == step::kRecording) {
      // The positions are compared again, as they were before the write.
      QueryServers(step::kComparing);
    } else if (step_ == step::kFencing) {
      Fence();
    }
  } else if (is_waiting) {
    ClaimAgain("not_recorded");
  }
}

void primary_change::OnEraSeen(std::uint64_t era) {
  if (settings_.injected_defects.ignore_era) {
    return;
  }
  if (era_.has_value() && era > *era_) {
    era_raised_ = host_.Now();
    // A write of an earlier era, or one that was read in an earlier era, gives
    // no claim: its token may have been given to another holder since.
    nonce_ = 0;
  }
  era_ = std::max(era, era_.value_or(0));
}

void primary_change::OnClaimWritten(const group_claim& claim,
                                    store::call_status status) {
  if (status == store::call_status::kDone) {
    OnEraSeen(store::EraOf(claim.version));
    if (nonce_ != claim.nonce) {
      // The condition that there is no row holds in every era.
      host_.SetTimer(group_.Name(), settings_.retry_pause);
      return;
    }
    token_ = claim.token;
    claim_ = claim;
    host_.LogChange(
        group_.Name(), "claimed",
        "token " + std::to_string(token_) + " after " + replaced_claim_);
    QueryServers(step::kQuerying);
    host_.OnChangeClaimed(group_.Name());
    return;
  }
  if (status == store::call_status::kConflict) {
    // The row was changed by another instance or by an earlier write of this
    // one.
    host_.SetTimer(group_.Name(), core::milliseconds(0));
    return;
  }
  host_.SetTimer(group_.Name(), settings_.retry_pause);
}

}  // namespace plantaintiller::replication
