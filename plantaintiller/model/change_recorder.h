#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/replication/member_history.h"

namespace plantaintiller::model {

class change_instance;

/// Row of the store that names the servers that may have confirmed commits.
struct recorded_members {
  std::vector<replication::server_entry> members;
  std::uint64_t version = 0;
};

/// Records the members of the group in the simulated store, as
/// `gateway::member_recorder` does.
class change_recorder {
 public:
  /// References must outlive the recorder.
  explicit change_recorder(change_instance& owner) : owner_(owner) {}

  /// Called with each list that the instance adopts.
  void OnList(const std::vector<replication::server_entry>& listed);
  /// Called when a commit was passed on that a replica has confirmed.
  void OnCommitConfirmed(core::time_point sent) {
    history_.OnCommitConfirmed(sent);
  }

 private:
  /// @return whether this instance writes the row; two of all do.
  bool Records() const;
  std::vector<replication::server_entry> MembersToRecord() const;
  void OnRead(const recorded_members& row);
  void Write(const recorded_members& row);
  void OnWritten(const recorded_members& row, bool done);

  change_instance& owner_;
  replication::member_history history_;
  /// Members in the row as it was read or written last.
  std::optional<std::vector<replication::server_entry>> recorded_;
  bool busy_ = false;
};

}  // namespace plantaintiller::model
