#include "plantaintiller/gateway/server_list_history.h"

#include <algorithm>
#include <map>
#include <utility>

#include "plantaintiller/store/row_version.h"

namespace plantaintiller::gateway {

namespace {

using replication::server_entry;

const server_entry* Find(const std::vector<server_entry>& servers,
                         const std::string& id) {
  const auto found =
      std::lower_bound(servers.begin(), servers.end(), id,
                       [](const server_entry& each, const std::string& key) {
                         return each.id < key;
                       });
  return found != servers.end() && found->id == id ? &*found : nullptr;
}

/// @return ids of the servers that are new, changed or no longer listed.
std::vector<std::string> Difference(const std::vector<server_entry>& before,
                                    const std::vector<server_entry>& after) {
  std::vector<std::string> ids;
  for (const server_entry& each : before) {
    const server_entry* now = Find(after, each.id);
    if (now == nullptr || !(*now == each)) {
      ids.push_back(each.id);
    }
  }
  for (const server_entry& each : after) {
    if (Find(before, each.id) == nullptr) {
      ids.push_back(each.id);
    }
  }
  return ids;
}

}  // namespace

bool server_list_history::Replace(std::vector<server_entry> servers) {
  std::sort(servers.begin(), servers.end(),
            [](const server_entry& left, const server_entry& right) {
              return left.id < right.id;
            });
  if (hash_ != 0 && servers == servers_) {
    return false;
  }
  if (hash_ != 0) {
    changes_.push_back({hash_, Difference(servers_, servers)});
    if (changes_.size() > kMaxChanges) {
      changes_.pop_front();
    }
  }
  servers_ = std::move(servers);
  hash_ = replication::HashOf(servers_);
  return true;
}

list_update server_list_history::UpdateFor(const state_request& request,
                                           std::uint64_t version) const {
  list_update update;
  if (version <= request.list_version || hash_ == 0) {
    return update;
  }
  update.version = version;
  update.hash = hash_;
  // The same list may have been in use more than once; the last time gives the
  // fewest changes.
  const auto base = std::find_if(changes_.rbegin(), changes_.rend(),
                                 [&request](const change& each) {
                                   return each.hash == request.list_hash;
                                 });
  const bool same_list = request.list_hash == hash_;
  const bool is_reached = same_list || base != changes_.rend();
  if (request.list_hash == 0 || !is_reached ||
      store::EraOf(version) != store::EraOf(request.list_version)) {
    update.servers = servers_;
    return update;
  }
  std::set<std::string> ids;
  if (!same_list) {
    for (auto each = changes_.rbegin(); each != std::next(base); ++each) {
      ids.insert(each->ids.begin(), each->ids.end());
    }
  }
  if (ids.size() >= servers_.size()) {
    update.servers = servers_;
    return update;
  }
  update.base_hash = request.list_hash;
  for (const std::string& id : ids) {
    if (const server_entry* now = Find(servers_, id)) {
      update.servers.push_back(*now);
    } else {
      update.removed.push_back(id);
    }
  }
  return update;
}

std::optional<std::vector<server_entry>> server_list_history::Apply(
    const std::vector<server_entry>& servers,
    const list_update& update) {
  std::map<std::string, server_entry> result;
  if (update.base_hash != 0) {
    if (replication::HashOf(servers) != update.base_hash) {
      return std::nullopt;
    }
    for (const server_entry& each : servers) {
      result.emplace(each.id, each);
    }
  }
  for (const std::string& id : update.removed) {
    result.erase(id);
  }
  for (const server_entry& each : update.servers) {
    result.insert_or_assign(each.id, each);
  }
  std::vector<server_entry> list;
  list.reserve(result.size());
  for (auto& [id, each] : result) {
    list.push_back(std::move(each));
  }
  if (update.hash != 0 && replication::HashOf(list) != update.hash) {
    return std::nullopt;
  }
  return list;
}

}  // namespace plantaintiller::gateway
