#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/replication/promotion_orders.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/store/promotion_service.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::replication {

/// Reason for which a group needs another leader.
enum class change_reason : std::uint8_t {
  /// The leader is about to stop.
  kLeaving,
  /// The leader has left the server list.
  kRemoved,
  /// The leader does not answer.
  kUnresponsive,
  /// The leader answers, but its commits are not confirmed by any replica.
  kCommitsStalled,
  /// The group has no leader.
  kNoLeader,
  /// A promotion that got no answer may still be carried out.
  kUnsettled,
};

/// @return the name of a reason in logs, a string of static storage.
const char* ReasonName(change_reason reason);

/// Row in the store that names the instance allowed to change a group's leader.
struct group_claim {
  /// Fencing token, increased by each claim.
  std::uint64_t token = 0;
  std::string holder;
  /// Random number of each claim. An instance whose write got no answer
  /// recognizes by it whether the write was done or another instance was first.
  std::uint64_t nonce = 0;
  /// Time of the claim by the store's clock.
  core::milliseconds claimed_at{0};
  /// Whether no promotion under this token or an earlier one can be carried out
  /// any more, as far as its holder knows. While it is false, a promotion that
  /// got no answer may still be carried out.
  bool settled = false;
  /// Servers whose promotion may have been ordered, under this token or an
  /// earlier one, and may still be carried out. Recorded before the order, also
  /// if it only serves as a fence. With each the latest time, by the store's
  /// clock, at which the order can have been given. Nothing in a row that is
  /// settled or was not written by this version.
  std::optional<std::map<std::string, core::milliseconds>> candidates;
  store::row_version version = 0;
  /// Era of the store in which the row was read; not part of the row.
  std::uint64_t era = 0;
};

/// A command to a backend server: report the status, hold replication (receive
/// nothing more), end the hold, or follow the leader of a later term.
enum class server_command : std::uint8_t { kStatus, kHold, kResume, kDemote };

/// Services that `primary_change` needs from its process. Callbacks are called
/// later, never during the call that they are passed to.
class change_host {
 public:
  virtual ~change_host() = default;
  virtual core::time_point Now() const = 0;
  /// @return how long this machine has been suspended since its start; `Now`
  /// does not count that time.
  virtual core::duration SuspendedTime() const = 0;
  /// Reads the group's claim.
  /// @param done receives the claim and the time by the store's clock. The
  /// claim is nothing if the store did not answer, and has version 0 if there
  /// is none.
  virtual void ReadClaim(const std::string& group,
                         std::function<void(std::optional<group_claim>,
                                            core::milliseconds)> done) = 0;
  /// Replaces the claim if its row still has the version of `claim`.
  /// @param done receives the result of the call and, if it was done, the new
  /// version of the row.
  virtual void WriteClaim(
      const std::string& group,
      const group_claim& claim,
      std::function<void(store::call_status, store::row_version)> done) = 0;
  /// Sends a command to a server.
  /// @param term term of a hold or a demotion; other commands ignore it.
  /// @param done receives the server's status, or nothing if there was no
  /// usable answer.
  virtual void SendCommand(
      const std::string& group,
      const std::string& server,
      server_command command,
      core::term_number term,
      std::function<void(std::optional<sessions::server_status>)> done) = 0;
  /// Asks the platform to make a server the leader of the group.
  /// @param token fencing token of the claim.
  /// @param valid_for the order must not reach the platform later than this
  /// after the call.
  /// @param done receives the result of the call.
  virtual void Promote(const std::string& group,
                       const std::string& server,
                       std::uint64_t token,
                       core::milliseconds valid_for,
                       std::function<void(store::promotion_status)> done) = 0;
  /// Asks for a newer list of servers: one that has just joined confirms
  /// commits at once.
  virtual void RequestList() = 0;
  /// Calls `primary_change::OnTimer` after a pause; replaces an earlier
  /// request.
  virtual void SetTimer(const std::string& group, core::milliseconds pause) = 0;
  /// @return a random number for `group_claim::nonce`.
  virtual std::uint64_t DrawNonce() = 0;
  /// Called when this instance has claimed the group.
  virtual void OnChangeClaimed(const std::string& group) = 0;
  /// Called when the change has ended.
  /// @param leader the new leader; empty if the change was abandoned.
  /// @param term the newest known term of the group.
  virtual void OnChangeDone(const std::string& group,
                            const std::string& leader,
                            core::term_number term) = 0;
  /// Logs a step of the change.
  virtual void LogChange(const std::string& group,
                         const char* event,
                         const std::string& detail) = 0;
};

/// Defects that tests inject to verify that the model's checker finds them.
/// None is enabled in the product.
struct injected_change_defects {
  /// Promotes without holding the other replicas.
  bool skip_holds = false;
  /// Promotes a candidate that lacks commits of a held replica.
  bool skip_comparison = false;
  /// Treats a replica that does not answer as if it had confirmed nothing.
  bool ignore_unknown_replicas = false;
  /// Uses the token of the claim that was read instead of claiming a new one.
  bool reuse_token = false;
  /// Promotes under a claim of any age.
  bool ignore_claim_age = false;
  /// Leaves the old leader as it is.
  bool skip_demotion = false;
  /// Promotes another server although an order may still be carried out.
  bool forget_orders = false;
  /// Orders promotions without recording the candidate.
  bool skip_record = false;
  /// Takes a claim from the future of the store's clock for an expired one.
  bool trust_store_clock = false;
  /// Counts tokens up from the row only, although the store has come back from
  /// an older copy.
  bool ignore_era = false;
};

/// Limits of a change of primary.
struct change_settings {
  /// Name of this instance.
  std::string holder;
  /// Time for which the claim of another instance is respected: the longest
  /// promotion with its preparation.
  core::milliseconds claim_validity{2500};
  /// Whether the platform refuses promotions with outdated tokens.
  bool fencing = true;
  /// Pause before an instance tries again to fence off a promotion that got no
  /// answer: its own claim has then expired.
  core::milliseconds settle_pause{2500};
  /// Time that an order has to reach the platform. It is given only if this
  /// time and that of the promotion itself end before the validity does.
  core::milliseconds delivery_time{store::kPromotionTimeout};
  /// Longest time from sending a command to a server until it arrives, if it
  /// does: the wait for a connection and the limit of undelivered data.
  core::milliseconds command_lifetime{950};
  /// Longest time after which a promotion that got no answer is carried out,
  /// where no token can prevent it: some seconds on the users' platform.
  core::milliseconds late_promotion_limit{8000};
  /// Time within which an accepted promotion takes effect: the longest one of
  /// the users' databases, with a margin.
  core::milliseconds longest_promotion{800};
  /// Pause before a step is retried.
  core::milliseconds retry_pause{100};
  /// Pause in which a list that was asked for arrives.
  core::milliseconds list_pause{30};
  /// Longest preparation before the holds are released.
  core::milliseconds preparation_limit{4000};
  /// Longest wait for an accepted promotion.
  core::milliseconds promotion_limit{4000};
  /// Age at which a commit in the leader's log is assumed to be acknowledged
  /// when the leader cannot be asked. It is longer than replication ever takes
  /// in undisturbed operation.
  core::milliseconds assumed_acknowledged_age{500};
  /// How long to wait for a crashed leader to return when no other server has
  /// the acknowledged commits: the time of a restart, with a margin.
  core::milliseconds crashed_leader_wait{20000};
  /// An instance is outdated if its last leadership proof was at least this old
  /// when the leader failed: its proofs may then miss acknowledged commits.
  core::milliseconds recent_proof_age{2500};
  /// Time for which an outdated instance lets other instances go first.
  core::milliseconds outdated_instance_delay{2000};
  injected_change_defects injected_defects;
};

/// Makes another server the leader of one group without losing an acknowledged
/// commit.
///
/// A commit is acknowledged once one replica has received it. The change holds
/// all replicas except the candidate: they receive nothing more, so only the
/// candidate can confirm commits from then on. The candidate may be promoted
/// once it has received every commit of the held replicas. A replica that does
/// not answer may be the only one that has some commit. The change then waits,
/// unless the replica is known to be removed and the candidate to have all
/// commits acknowledged before the removal.
///
/// All steps run under a fencing token claimed in the store. A promotion that
/// got no answer may still be carried out later. It does no harm as long as its
/// server has all acknowledged commits; the change, also one that takes over
/// from another instance, therefore goes on with the same candidate under a new
/// token. If that candidate is lost or behind, the present leader is promoted
/// under a new token, which changes nothing but fences the earlier calls off. A
/// fence is a promotion all the same: if an earlier call is carried out before
/// it, it promotes the former leader back, without the commits between. It is
/// therefore recorded like any other, and is no way to replace a candidate that
/// may still be promoted without harm. The change goes on once a promotion
/// accepted before has taken effect. Holds end only by a promotion or after a
/// fence.
class primary_change {
 public:
  /// References must outlive the change.
  primary_change(change_host& host,
                 group_state& group,
                 const change_settings& settings);

  /// Starts the change, unless it is already in progress.
  void Start(change_reason reason);
  bool IsActive() const { return step_ != step::kIdle; }
  /// @return whether this instance holds the claim. Until then other instances,
  /// which may be closer to the store, should not wait for this one.
  bool HasClaim() const { return IsActive() && step_ != step::kClaiming; }
  /// Called by the host after the pause of `SetTimer`.
  void OnTimer();

 private:
  enum class step : std::uint8_t {
    kIdle,
    kClaiming,
    /// Queries the log positions of all servers.
    kQuerying,
    /// Holds all replicas except the candidate.
    kHolding,
    /// Waits until the candidate has the commits of the held replicas.
    kComparing,
    /// Demotes the old leader, because a server that is not held could confirm
    /// its commits.
    kDemoting,
    /// Waits until the row names the candidate.
    kRecording,
    kPromoting,
    /// Waits until the candidate is the leader.
    kAwaitingPromotion,
    /// Promotes the present leader, to fence off earlier promotions.
    kFencing,
    /// Waits until a promotion accepted before the fence has taken effect.
    kAwaitingFence,
  };
  /// Time at which a row was read, with the suspended time by then.
  struct read_time {
    core::time_point at;
    core::duration suspended{0};
  };
  struct server_answer {
    std::optional<sessions::server_status> status;
  };
  using answers = std::map<std::string, server_answer>;

  void Claim();
  void OnClaim(std::optional<group_claim> claim,
               core::milliseconds store_now,
               const read_time& read);
  void OnClaimWritten(const group_claim& claim, store::call_status status);
  /// Takes over the promotions of an earlier holder that may still be carried
  /// out.
  void AddOrdersOf(const group_claim& claim, core::milliseconds store_now);
  /// Writes a server into the row before its promotion is ordered, so that an
  /// instance that takes over goes on with the same one. Renews the claim.
  void Record(const std::string& server);
  void OnRecorded(const group_claim& claim,
                  const read_time& renewed,
                  store::call_status status);
  /// @return whether the row names a server.
  bool IsRecorded(const std::string& server) const;
  /// Called with the era of each answer of the store. In a new era a claim of
  /// an earlier one is no longer recognized as this instance's own.
  void OnEraSeen(std::uint64_t era);
  void QueryServers(step next);
  void OnAnswer(std::uint64_t round,
                const std::string& server,
                std::optional<sessions::server_status> status);
  void OnAllAnswered();
  void ChooseCandidate();
  /// @return the replica that has answered with the longest log, the nearest of
  /// several; empty if there is none.
  /// @param with_draining whether it may be about to stop.
  std::string LongestLog(bool with_draining) const;
  /// @return the server to promote; empty if there is none. One that is about
  /// to stop is promoted only if it has commits that no other server can still
  /// receive.
  std::string BestCandidate() const;
  /// @return whether an earlier change has held the candidate, which could
  /// otherwise catch up with the leader.
  bool IsCandidateHeld() const;
  void Compare();
  /// Whether a server other than the candidate may confirm commits.
  bool MayConfirm(const std::string& server) const;
  /// Whether a replica that does not answer may have commits that the candidate
  /// lacks.
  bool IsReplicaUnknown(core::log_position candidate) const;
  /// Whether the candidate has the whole log of the leader of the newest term,
  /// which this instance has demoted, or is that server. It has every
  /// acknowledged commit, whoever confirmed them: no other server has led
  /// since.
  bool HasDemotedLeadersLog() const;
  /// Whether the candidate has every acknowledged commit that a missing replica
  /// may have confirmed.
  bool HasAllCommitsOf(const std::string& missing,
                       core::log_position candidate) const;
  /// Whether the candidate has every commit that the leader may have
  /// acknowledged.
  bool HasAllLeaderCommits(core::log_position candidate) const;
  /// Claims a higher token because a call under the current one got no answer.
  void ClaimAgain(const char* reason);
  /// @return whether a server that is not held could confirm commits.
  bool MayUnheldServerConfirm() const;
  void DemoteOldLeader();
  void OnDemoted(std::optional<sessions::server_status> status);
  /// @return whether a command sent now arrives before the claim lapses. Holds
  /// carry a term, their end does not: it would end those of the next holder.
  bool MayEndHolds() const;
  /// @return the time since the row that this claim replaced was read.
  core::duration ClaimAge() const;
  /// @return whether no other instance can have claimed the group since.
  bool IsClaimValid() const;
  /// @return the time within which an order must reach the platform to take
  /// effect before another instance may claim the group.
  core::milliseconds OrderTimeLeft() const;
  void Promote();
  /// @return what each member answered last, for the log: role or state, term,
  /// position and hold.
  std::string DescribeMembers() const;
  void OnPromoted(store::promotion_status status);
  void HoldReplicas();
  /// @return whether a listed server was not asked in the last round.
  bool IsListNewer() const;
  void CheckPromotion();
  /// @return whether a promotion that got no answer may still be carried out at
  /// a server other than the present leader.
  bool IsPromotionOutstanding() const;
  /// @return whether a listed server of such a promotion has not answered this
  /// once, so that it is not known whether it has everything.
  bool IsOutstandingSilent() const;
  /// @return whether such a promotion does harm and can be fenced off.
  bool NeedsFence() const;
  /// @return the server of an outstanding promotion that still has the log that
  /// it had then, so that its promotion can be repeated at once. This says
  /// nothing of whether another server may be promoted.
  std::optional<std::string> IntactOutstandingCandidate() const;
  bool IsIntact(const std::string& server) const;
  /// Forgets promotions that can no longer be carried out.
  void ForgetLateOrders();
  /// @return whether a promotion of another server may still be carried out and
  /// nothing but time prevents it, so that the candidate must not lead before.
  bool MustAwaitOrders(const std::string& candidate) const;
  /// Waits for the outstanding orders, which the log names.
  void AwaitOrders();
  /// @return the time from the giving of an order without an answer until its
  /// server leads, at the latest.
  core::duration OrderLifetime() const;
  void Fence();
  void OnFenced(store::promotion_status status);
  void ReleaseHolds();
  /// Records in the store that no promotion is outstanding.
  void SettleClaim();
  void Abandon(const std::string& reason);
  /// @return whether the holder of a claim can no longer act under it.
  bool HasExpired(const group_claim& claim, core::milliseconds store_now) const;
  /// @return holder, token and age of a claim for the log.
  std::string DescribeClaim(const group_claim& claim,
                            core::milliseconds store_now) const;
  /// Records when this instance first saw the row's version.
  void OnClaimSeen(store::row_version version);
  /// Restarts from the query of the servers, or ends the change if its
  /// preparation has taken too long.
  void RetryOrAbandon(const std::string& reason);
  void Finish(const std::string& leader);
  bool LeaderAnswers() const;
  /// Sets the old leader from the latest answers.
  void UpdateOldLeader();
  const sessions::server_status* StatusOf(const std::string& server) const;

  change_host& host_;
  group_state& group_;
  const change_settings& settings_;
  step step_ = step::kIdle;
  change_reason reason_ = change_reason::kNoLeader;
  core::time_point started_;
  core::time_point promoted_;
  /// Start of the first change since the group was last known to have a leader.
  core::time_point blocked_since_;
  /// Position of the leader once all other replicas were held.
  std::optional<core::log_position> leader_position_after_holds_;
  int comparison_rounds_ = 0;
  int promotion_checks_ = 0;
  /// Number of the latest requests; answers to earlier ones are ignored.
  std::uint64_t request_round_ = 0;
  std::uint64_t token_ = 0;
  std::uint64_t nonce_ = 0;
  /// The claim as written by this instance.
  group_claim claim_;
  /// Version of the claim that was read last, and when this instance first saw
  /// it.
  store::row_version seen_version_ = 0;
  core::time_point seen_at_;
  /// The claim that the present one replaced, for the log.
  std::string replaced_claim_;
  /// Newest era of the store that this change has seen; nothing before the
  /// first read.
  std::optional<std::uint64_t> era_;
  /// Time at which the era was seen to rise.
  core::time_point era_raised_;
  /// When the claim that this one replaced was read.
  read_time claim_read_;
  /// Orders of this or an earlier change; for `kUnknownServer` if another
  /// instance gave one and its row can't be read.
  promotion_orders orders_;
  /// Number of the latest write of a candidate; 0 if none is in progress.
  std::uint64_t record_round_ = 0;
  bool recording_ = false;
  /// Position of the candidate when its promotion was ordered.
  core::log_position candidate_position_;
  /// Whether a promotion of the present leader was accepted under the token.
  bool is_fenced_ = false;
  /// Whether the holds are to be released after the fence.
  bool releasing_holds_ = false;
  core::term_number hold_term_ = 0;
  /// Last known leader when the change started.
  std::string initial_leader_;
  /// Empty if no server is the leader.
  std::string old_leader_;
  bool leader_answered_ = false;
  /// A leader that this instance has told to follow, with its last answer as
  /// leader; forgotten when another instance has held the claim since.
  struct demoted_leader {
    std::string server;
    sessions::server_status status;
  };
  std::optional<demoted_leader> demoted_;
  std::string candidate_;
  answers answers_;
  int pending_answers_ = 0;
  bool holds_placed_ = false;
  /// Whether the claim is left to lapse although nothing is outstanding.
  bool keeps_claim_ = false;
  int promote_tries_ = 0;
  int fence_tries_ = 0;
  /// Preparations that failed since the last claim.
  int failed_rounds_ = 0;
};

}  // namespace plantaintiller::replication
