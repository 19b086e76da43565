#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"
#include "plantaintiller/replication/leadership_evidence.h"
#include "plantaintiller/sessions/codec.h"

namespace plantaintiller::replication {

/// Result of a leadership check.
enum class leadership_result : std::uint8_t {
  /// No other server had become the leader when the check was requested.
  kConfirmed,
  /// The group has another leader, or none.
  kLeaderChanged,
  /// Too few servers answered to tell.
  kUnproven,
};

/// A commit that its server has acknowledged and whose caller waits for a
/// check.
struct acknowledged_commit {
  core::log_position position;
  /// Whether the acknowledgement itself proves that the server led when it was
  /// sent. The answers of the other servers are then not needed for that.
  bool proves_leadership = false;
};

/// Receives the result of a leadership check.
class leadership_check_listener {
 public:
  virtual ~leadership_check_listener() = default;
  virtual void OnLeadershipChecked(leadership_result result) = 0;
};

/// Services that `leadership_check` needs from its process. Callbacks are
/// called later, never during the call that they are passed to.
class leadership_check_host {
 public:
  virtual ~leadership_check_host() = default;
  virtual core::time_point Now() const = 0;
  /// Asks a server for its status.
  /// @param done receives the status, or nothing if there was no usable answer.
  virtual void QueryStatus(
      const std::string& group,
      const std::string& server,
      std::function<void(std::optional<sessions::server_status>)> done) = 0;
  /// Calls `leadership_check::OnTimer` after a pause; replaces an earlier
  /// request.
  virtual void SetCheckTimer(const std::string& group,
                             core::milliseconds pause) = 0;
  /// Called when the check has changed the group's leader.
  virtual void OnLeaderChanged(const std::string& group) = 0;
};

/// Defects that tests inject to verify that the model's checker finds them.
/// None is enabled in the product.
struct injected_check_defects {
  /// Confirms without asking another server.
  bool trust_leader = false;
  /// Accepts the answer of one replica that is not held.
  bool ask_one_replica = false;
  /// Accepts an answer of a check that started before the request.
  bool join_running_round = false;
  /// Confirms a round that asked no server if the pause after a failed round
  /// has ended by then.
  bool confirms_unasked = false;
};

/// Verifies that a group's leader has not been replaced.
///
/// A replaced leader that is cut off from the new one may go on as leader for
/// long, and answers like one. Its own word proves nothing. A new leader is one
/// of the other servers, so no promotion had completed before a request was
/// sent if, after it, all other servers answer that they are not the leader and
/// know no later term. One replica alone is not enough: the promotion ends its
/// hold, and it may learn the new term seconds later.
///
/// If some server does not answer, a commit proves the same that was sent after
/// the request and acknowledged, since a replica has received it from the
/// leader.
///
/// If no other server is listed, only a commit confirms: entries of servers
/// that do not reach the store lapse, so a list without them proves nothing.
///
/// A commit is confirmed only if, besides, a server that every instance knows
/// has received it. Which replica has confirmed it to the leader is not known.
/// It may be one that has just joined and is not listed yet, or that has joined
/// since another instance compared the logs of all others and ordered a
/// promotion; the promoted server then lacks the commit. One that was known is
/// held and compared before the order. If the acknowledgement proves that the
/// server led, the first such server that has the commit confirms it.
///
/// Requests that arrive while a round of queries is in progress wait for the
/// next round, so that many requests share few queries.
class leadership_check {
 public:
  /// References must outlive the check.
  leadership_check(leadership_check_host& host,
                   group_state& group,
                   const injected_check_defects& defects = kNoDefects);

  /// Requests a check that a server is still the leader. The listener is called
  /// later, never during this call.
  /// @param commit commit that the server has acknowledged; nothing for a
  /// request that commits nothing.
  void Request(const std::string& server,
               leadership_check_listener& listener,
               std::optional<acknowledged_commit> commit = std::nullopt);
  /// Withdraws all requests of a listener.
  void Cancel(leadership_check_listener& listener);
  /// Called when a commit was acknowledged that a replica has confirmed.
  /// @param server server that acknowledged it.
  /// @param sent time at which it was sent.
  void OnCommitConfirmed(const std::string& server, core::time_point sent);
  /// Called by the host after the pause of `SetCheckTimer`.
  void OnTimer();
  /// @return the number of queries sent.
  std::uint64_t Queries() const { return queries_; }

 private:
  static constexpr injected_check_defects kNoDefects{};

  struct request {
    std::string server;
    leadership_check_listener* listener = nullptr;
    core::time_point requested;
    std::optional<acknowledged_commit> commit;
    /// Rounds in which a commit was not confirmed.
    int rounds = 0;
  };
  /// A request whose listener has yet to be called.
  struct ended_request {
    leadership_check_listener* listener = nullptr;
    leadership_result result = leadership_result::kUnproven;
  };

  void StartRound();
  void Query(const std::string& server);
  void OnStatus(std::uint64_t round,
                const std::string& server,
                std::optional<sessions::server_status> status);
  /// Asks the presumed leader for its term, because another server knows a
  /// later one.
  void ResolveTerm();
  void Evaluate();
  /// @return whether another server knows a later term than the leader's.
  bool IsTermOutdated() const;
  /// @return the evidence that the round has gathered so far.
  std::optional<leadership_evidence> GatheredEvidence() const;
  /// @return whether a request of the round needs no evidence of leadership.
  bool HasProvingCommit() const;
  /// Ends those requests whose commit proves the leadership and was received by
  /// a settled server.
  void ConfirmReceived();
  /// @return the result of a round that asks no server; nothing if it is worth
  /// asking them.
  std::optional<leadership_result> ResultWithoutAsking() const;
  /// Whether a request without a result is likely to stay without one.
  bool IsHopeless() const;
  /// Ends those of some requests that the evidence confirms. Nothing else
  /// confirms a request.
  void Confirm(const leadership_evidence& evidence,
               std::vector<request>& requests);
  /// @return whether a settled server other than the leader has answered that
  /// it has received a commit of the leader.
  bool IsReceived(core::log_position commit) const;
  /// @return whether a commit waits for the answer of a settled server.
  bool AwaitsReceiver() const;
  /// Ends the round. Its requests that are not confirmed fail.
  /// @param failure result of those that were bound to the presumed leader.
  void EndRound(leadership_result failure);
  /// Calls the listeners of ended requests, which may cancel others or request
  /// another check.
  void NotifyEnded();

  leadership_check_host& host_;
  group_state& group_;
  const injected_check_defects& defects_;
  std::vector<request> waiting_;
  std::vector<request> current_;
  std::deque<ended_request> ended_;
  bool running_ = false;
  core::time_point round_started_;
  /// Result of the round if it asks no server, as decided at its start.
  std::optional<leadership_result> unasked_result_;
  std::uint64_t round_ = 0;
  std::uint64_t queries_ = 0;
  std::string leader_;
  /// The other servers.
  std::vector<std::string> others_;
  /// Servers that are asked only whether they have received a commit.
  std::vector<std::string> receivers_;
  bool resolving_ = false;
  status_answers answers_;
  /// Time at which the last round ended without a result; the epoch if it had
  /// one.
  core::time_point failed_at_;
  /// Time at which the last confirmed commit was sent.
  core::time_point last_commit_;
};

}  // namespace plantaintiller::replication
