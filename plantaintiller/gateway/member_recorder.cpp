#include "plantaintiller/gateway/member_recorder.h"

#include <optional>
#include <utility>

#include "plantaintiller/gateway/claim_codec.h"
#include "plantaintiller/gateway/member_codec.h"

namespace plantaintiller::gateway {

class member_recorder::implementation
    : public std::enable_shared_from_this<implementation> {
 public:
  implementation(store::row_store& rows,
                 event_log& log,
                 member_recorder_listener* listener)
      : rows_(rows), log_(log), listener_(listener) {}

  void OnList(const std::string& name,
              const std::vector<replication::server_entry>& listed,
              bool records,
              std::uint64_t era,
              core::time_point now) {
    recorded_group& group = groups_[name];
    group.history.OnList(name, listed, now);
    // A store that came back from an older copy may have lost the row.
    const bool is_current =
        group.recorded == EncodeMembers(group.history.Members()) &&
        group.era == era;
    if (records && !group.busy && !is_current) {
      group.busy = true;
      group.era = era;
      Read(name);
    }
  }

  void OnCommitConfirmed(const std::string& name, core::time_point sent) {
    const auto found = groups_.find(name);
    if (found != groups_.end()) {
      found->second.history.OnCommitConfirmed(sent);
    }
  }

 private:
  struct recorded_group {
    replication::member_history history;
    /// The row as it was read or written last.
    std::optional<std::string> recorded;
    std::uint64_t era = 0;
    bool busy = false;
  };

  void Read(const std::string& name) {
    rows_.Read(
        kClaimTable, name, kMembersKey,
        [self = shared_from_this(), name](const store::rows_answer& answer) {
          self->OnRead(name, answer);
        });
  }

  void OnRead(const std::string& name, const store::rows_answer& answer) {
    recorded_group& group = groups_[name];
    if (answer.status != store::call_status::kDone) {
      group.busy = false;
      return;
    }
    const core::time_point now = core::clock::now();
    group.recorded.reset();
    store::row row;
    row.table = kClaimTable;
    row.part = name;
    row.key = kMembersKey;
    for (const store::row& each : answer.rows) {
      if (each.key != kMembersKey) {
        continue;
      }
      row.version = each.version;
      group.recorded = each.value;
      if (const auto members = DecodeMembers(name, each.value)) {
        group.history.OnRecorded(*members, now);
        for (const replication::server_entry& member : *members) {
          if (listener_ != nullptr) {
            listener_->OnMemberRecorded(name, member);
          }
        }
      }
    }
    row.value = EncodeMembers(group.history.Members());
    if (group.recorded == row.value) {
      group.busy = false;
      return;
    }
    Write(name, row);
  }

  void Write(const std::string& name, const store::row& row) {
    store::row_transaction change;
    change.expected.push_back(row);
    change.writes.push_back(row);
    rows_.Commit(change, [self = shared_from_this(), name,
                          row](const store::rows_answer& answer) {
      recorded_group& group = self->groups_[name];
      group.busy = false;
      const bool done = answer.status == store::call_status::kDone;
      // Another instance may have written; the row is read again then.
      group.recorded = done ? std::optional(row.value) : std::nullopt;
      log_line(self->log_, "groups", "members")
          .With("group", name)
          .With("recorded", done ? 1 : 0)
          .With("members", row.value);
    });
  }

  store::row_store& rows_;
  event_log& log_;
  member_recorder_listener* listener_;
  std::map<std::string, recorded_group> groups_;
};

member_recorder::member_recorder(store::row_store& rows,
                                 event_log& log,
                                 member_recorder_listener* listener)
    : implementation_(std::make_shared<implementation>(rows, log, listener)) {}

member_recorder::~member_recorder() = default;

void member_recorder::OnList(
    const std::string& group,
    const std::vector<replication::server_entry>& listed,
    bool records,
    std::uint64_t era,
    core::time_point now) {
  implementation_->OnList(group, listed, records, era, now);
}

void member_recorder::OnCommitConfirmed(const std::string& group,
                                        core::time_point sent) {
  implementation_->OnCommitConfirmed(group, sent);
}

}  // namespace plantaintiller::gateway
