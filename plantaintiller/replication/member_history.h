#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::replication {

/// The servers of one group that may have confirmed commits: those of the list,
/// and for a while those that have left it. One that left unplanned may go on
/// confirming, or come back with commits that no other replica has. One that
/// left as planned is gone with its log: commits that it alone has confirmed
/// are at the leader only, until the remaining replicas have caught up. A
/// commit that was acknowledged since shows that one of them has.
class member_history {
 public:
  /// @param listed the present list; servers of other groups are ignored.
  void OnList(const std::string& group,
              const std::vector<server_entry>& listed,
              core::time_point now);
  /// Adds servers that another instance has recorded and this one does not
  /// know.
  void OnRecorded(const std::vector<server_entry>& recorded,
                  core::time_point now);
  /// Called when a commit was acknowledged that a replica has confirmed.
  /// @param sent time at which it was sent.
  void OnCommitConfirmed(core::time_point sent);
  /// @return the members in the order of their ids.
  std::vector<server_entry> Members() const;

 private:
  struct member {
    server_entry entry;
    std::optional<core::time_point> unlisted_since;
    /// Whether a replica that remains has every commit that it confirmed.
    bool is_covered = false;
  };
  /// Longest time for which a draining server goes on confirming after its
  /// entry has gone, as it also goes if the server fails to reach the store.
  static constexpr core::milliseconds kLongestDrain{10000};

  void Forget(core::time_point now);

  /// A server that restarted empty under its id is another member.
  using lifetime = std::pair<std::string, std::int64_t>;

  std::map<lifetime, member> members_;
  /// Members that this instance has forgotten and another one may still record.
  std::set<lifetime> forgotten_;
};

}  // namespace plantaintiller::replication
