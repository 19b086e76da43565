#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::replication {

/// Why a group needs another leader.
enum class change_reason : std::uint8_t {
  /// The leader is about to stop.
  kLeaving,
  /// The leader is not listed any more.
  kRemoved,
  /// The leader does not answer.
  kUnresponsive,
  /// The leader answers, but its commits are not confirmed.
  kCommitsStalled,
  /// No server leads.
  kNoLeader,
};

/// Name of a reason in logs. @return a string of static storage.
const char* ReasonName(change_reason reason);

/// The row of a group: who may change its leader.
struct group_claim {
  /// Fencing token; it rises with each claim.
  std::uint64_t token = 0;
  std::string holder;
  /// Drawn for each claim, so that a lost answer can be told from a lost race.
  std::uint64_t nonce = 0;
  /// Time of the claim on the store's clock.
  core::milliseconds claimed_at{0};
  store::row_version version = 0;
};

/// An order to a backend server.
enum class server_command : std::uint8_t { kStatus, kHold, kResume };

/// What a change of primary asks of the process around it. Answers come later,
/// never during a call.
class change_host {
 public:
  virtual ~change_host() = default;
  virtual core::time_point Now() const = 0;
  /// Reads the group's claim. @param done gets nothing if the store did not
  /// answer; a claim with version 0 if there is none; and the store's clock.
  virtual void ReadClaim(const std::string& group,
                         std::function<void(std::optional<group_claim>,
                                            core::milliseconds)> done) = 0;
  /// Replaces the claim if it has still the given version.
  /// @param done gets how the call ended.
  virtual void WriteClaim(const std::string& group,
                          const group_claim& claim,
                          std::function<void(store::call_status)> done) = 0;
  /// Sends an order. @param done gets nothing without a usable answer.
  virtual void SendCommand(
      const std::string& group,
      const std::string& server,
      server_command order,
      core::term_number term,
      std::function<void(std::optional<sessions::server_status>)> done) = 0;
  virtual void Promote(const std::string& group,
                       const std::string& server,
                       std::uint64_t token,
                       std::function<void(store::promotion_status)> done) = 0;
  /// Calls `OnTimer` after a pause, in place of an earlier request.
  virtual void SetTimer(const std::string& group, core::milliseconds pause) = 0;
  virtual std::uint64_t DrawNonce() = 0;
  /// This instance holds the group's claim now.
  virtual void OnChangeClaimed(const std::string& group) = 0;
  /// The change is over. @param leader empty if it was given up.
  virtual void OnChangeDone(const std::string& group,
                            const std::string& leader,
                            core::term_number term) = 0;
  virtual void LogChange(const std::string& group,
                         const char* event,
                         const std::string& detail) = 0;
};

/// Faults that tests switch on to see that the checker of the model finds them.
/// The build of the product has none of them on.
struct injected_change_defects {
  /// Promotes without holding the other replicas.
  bool skip_holds = false;
  /// Promotes a candidate that lacks what a held replica has.
  bool skip_comparison = false;
  /// Treats a replica that does not answer as if it had confirmed nothing.
  bool ignore_unknown_replicas = false;
  /// Uses the token of the claim that it read, without claiming the next.
  bool reuse_token = false;
};

/// Limits of a change of primary.
struct change_settings {
  /// Name of this instance.
  std::string holder;
  /// A claim of another instance is respected for this long: the longest
  /// promotion and its preparation.
  core::milliseconds claim_validity{2500};
  /// Pause before a step is tried again.
  core::milliseconds retry_pause{100};
  /// Longest preparation before holds are given up.
  core::milliseconds preparation_limit{4000};
  /// Longest wait for an accepted promotion.
  core::milliseconds promotion_limit{4000};
  /// Age at which a commit in the leader's log counts as acknowledged, for want
  /// of better knowledge: longer than any replication on a calm day.
  core::milliseconds assumed_acknowledged_age{500};
  /// How long a crashed leader is waited for when no other server has what was
  /// acknowledged: a restart, with room.
  core::milliseconds crashed_leader_wait{20000};
  /// An instance that has not followed the leader for this long before it
  /// failed lets others go first.
  core::milliseconds recent_proof_age{2500};
  core::milliseconds outdated_instance_delay{2000};
  injected_change_defects injected_defects;
};

/// Makes another server the leader of one group without losing an acknowledged
/// commit.
///
/// A commit is acknowledged once one replica has received it. All replicas but
/// the candidate are held, so that only the candidate can confirm from then on;
/// it may lead once it has received all that any held replica has. A replica
/// that cannot be asked may hold commits alone; the change then waits, unless
/// the replica is known to be gone and the candidate to have everything that
/// was acknowledged before.
///
/// Every order is made under a token claimed in the store. A promotion that got
/// no answer may be carried out late, so holds end only by a promotion or after
/// a promotion under the same token was accepted.
class primary_change {
 public:
  /// References must outlive the change.
  primary_change(change_host& host,
                 group_state& group,
                 const change_settings& settings);

  /// Starts, unless one is in progress.
  void Start(change_reason reason);
  bool IsActive() const { return step_ != step::kIdle; }
  /// Whether this instance holds the claim. Before that, others may well be
  /// nearer to the store and should not wait for it.
  bool HasClaim() const { return IsActive() && step_ != step::kClaiming; }
  void OnTimer();

 private:
  enum class step : std::uint8_t {
    kIdle,
    kClaiming,
    /// Asks all servers for their positions.
    kQuerying,
    /// Holds all replicas but the candidate.
    kHolding,
    /// Waits for the candidate to have all that is held.
    kComparing,
    kPromoting,
    /// Waits for the candidate to lead.
    kAwaitingPromotion,
    /// Lifts the holds under an accepted token.
    kReleasingHolds,
  };
  struct server_answer {
    std::optional<sessions::server_status> status;
  };
  using answers = std::map<std::string, server_answer>;

  void Claim();
  void OnClaim(std::optional<group_claim> claim, core::milliseconds store_now);
  void OnClaimWritten(const group_claim& claim, store::call_status status);
  void QueryServers(step next);
  void OnAnswer(std::uint64_t round,
                const std::string& server,
                std::optional<sessions::server_status> status);
  void OnAllAnswered();
  void ChooseCandidate();
  void Compare();
  bool MayConfirm(const std::string& server) const;
  /// Whether a replica that cannot be asked may hold commits that the candidate
  /// lacks.
  bool IsReplicaUnknown(core::log_position candidate) const;
  bool HasAllCommitsOf(const std::string& missing,
                       core::log_position candidate) const;
  /// Whether the candidate has what the leader may have acknowledged.
  bool HasAllLeaderCommits(core::log_position candidate) const;
  /// Claims a higher token, as a call under this one has no answer.
  void ClaimAgain(const char* why);
  void Promote();
  void OnPromoted(store::promotion_status status);
  void HoldReplicas();
  void CheckPromotion();
  void ReleaseHolds();
  void Abandon(const char* why);
  void RetryOrAbandon(const char* why);
  void Finish(const std::string& leader);
  bool LeaderAnswers() const;
  void UpdateOldLeader();
  const sessions::server_status* StatusOf(const std::string& server) const;

  change_host& host_;
  group_state& group_;
  const change_settings& settings_;
  step step_ = step::kIdle;
  change_reason reason_ = change_reason::kNoLeader;
  core::time_point started_;
  core::time_point promoted_;
  /// When the first change that has not ended with a leader started.
  core::time_point blocked_since_;
  /// What the leader had when all others were held.
  std::optional<core::log_position> leader_position_after_holds_;
  int comparison_rounds_ = 0;
  int promotion_checks_ = 0;
  std::uint64_t request_round_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t nonce_ = 0;
  core::term_number hold_term_ = 0;
  /// Leader when the change started.
  std::string initial_leader_;
  /// Empty if no server leads.
  std::string old_leader_;
  bool leader_answered_ = false;
  std::string candidate_;
  answers answers_;
  int pending_answers_ = 0;
  bool holds_placed_ = false;
  int promote_tries_ = 0;
};

}  // namespace plantaintiller::replication
