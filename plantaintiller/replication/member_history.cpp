#include "plantaintiller/replication/member_history.h"

#include <set>

namespace plantaintiller::replication {

void member_history::OnList(const std::string& group,
                            const std::vector<server_entry>& listed,
                            core::time_point now) {
  std::set<lifetime> present;
  for (const server_entry& each : listed) {
    if (each.group == group) {
      const lifetime key(each.id, each.born_ms);
      present.insert(key);
      forgotten_.erase(key);
      members_[key] = {each, std::nullopt, false};
    }
  }
  for (auto& [key, each] : members_) {
    if (!present.contains(key) && !each.unlisted_since.has_value()) {
      each.unlisted_since = now;
    }
  }
  Forget(now);
}

void member_history::OnRecorded(const std::vector<server_entry>& recorded,
                                core::time_point now) {
  for (const server_entry& each : recorded) {
    const lifetime key(each.id, each.born_ms);
    if (!forgotten_.contains(key)) {
      members_.try_emplace(key, member{each, now, false});
    }
  }
  Forget(now);
}

void member_history::OnCommitConfirmed(core::time_point sent) {
  for (auto& [key, each] : members_) {
    each.is_covered |= each.entry.draining && each.unlisted_since.has_value() &&
                       *each.unlisted_since + kLongestDrain < sent;
  }
}

void member_history::Forget(core::time_point now) {
  std::erase_if(members_, [this, now](const auto& each) {
    const member& left = each.second;
    const bool is_over =
        left.unlisted_since.has_value() &&
        (left.is_covered ||
         now - *left.unlisted_since > group_state::kRemovedRetention);
    if (is_over) {
      forgotten_.insert(each.first);
    }
    return is_over;
  });
}

std::vector<server_entry> member_history::Members() const {
  std::vector<server_entry> all;
  for (const auto& [key, each] : members_) {
    all.push_back(each.entry);
  }
  return all;
}

}  // namespace plantaintiller::replication
