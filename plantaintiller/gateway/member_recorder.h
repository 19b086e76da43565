#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/replication/member_history.h"
#include "plantaintiller/store/row_store.h"

namespace plantaintiller::gateway {

/// Receives the servers that the store names as members of a group.
class member_recorder_listener {
 public:
  virtual ~member_recorder_listener() = default;
  /// Called for each member when the group's row was read.
  virtual void OnMemberRecorded(const std::string& group,
                                const replication::server_entry& member) = 0;
};

/// Records in the store which servers of each group may have confirmed commits.
/// An instance that starts while one of them is not listed finds it there when
/// it changes the primary.
class member_recorder {
 public:
  /// References must outlive the recorder.
  /// @param listener may be null; otherwise it must outlive the recorder.
  member_recorder(store::row_store& rows,
                  event_log& log,
                  member_recorder_listener* listener = nullptr);
  ~member_recorder();

  /// Called with each list of servers that this instance adopts. Writes the
  /// group's row if it differs.
  /// @param records whether this instance writes for the group; a few of all
  /// instances do.
  /// @param era era of the store in which the list was read.
  void OnList(const std::string& group,
              const std::vector<replication::server_entry>& listed,
              bool records,
              std::uint64_t era,
              core::time_point now);
  /// Called when a commit of a group was acknowledged that a replica has
  /// confirmed.
  /// @param sent time at which it was sent.
  void OnCommitConfirmed(const std::string& group, core::time_point sent);

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
