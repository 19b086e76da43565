#include "plantaintiller/replication/member_history.h"

#include <set>

namespace plantaintiller::replication {

void member_history::OnList(const std::string& group,
                            const std::vector<server_entry>& listed,
                            core::time_point now) {
  std::set<std::string> present;
  for (const server_entry& each : listed) {
    if (each.group == group) {
      present.insert(each.id);
      members_[each.id] = {each, std::nullopt};
    }
  }
  for (auto& [id, each] : members_) {
    if (!present.contains(id) && !each.unlisted_since.has_value()) {
      each.unlisted_since = now;
    }
  }
  Forget(now);
}

void member_history::OnRecorded(const std::vector<server_entry>& recorded,
                                core::time_point now) {
  for (const server_entry& each : recorded) {
    members_.try_emplace(each.id, member{each, now});
  }
  Forget(now);
}

void member_history::Forget(core::time_point now) {
  std::erase_if(members_, [now](const auto& each) {
    const member& left = each.second;
    return left.unlisted_since.has_value() &&
           (left.entry.draining ||
            now - *left.unlisted_since > group_state::kRemovedRetention);
  });
}

std::vector<server_entry> member_history::Members() const {
  std::vector<server_entry> all;
  for (const auto& [id, each] : members_) {
    all.push_back(each.entry);
  }
  return all;
}

}  // namespace plantaintiller::replication
