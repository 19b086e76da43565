// Connections that belong to client accounts: which idle one a request takes,
// and which one is closed for another account.

#include <algorithm>

#include "plantaintiller/gateway/connection_pool.h"

namespace plantaintiller::gateway {

server_link* connection_pool::TakeIdle(
    server_links& links,
    const sessions::connection_requirements& need) {
  std::vector<server_link*>& idle = links.idle;
  // The warmest connection of the account.
  const auto own = std::find_if(idle.rbegin(), idle.rend(),
                                [&need](const server_link* each) {
                                  return each->Account() == need.account;
                                });
  if (own != idle.rend()) {
    server_link* link = *own;
    idle.erase(std::next(own).base());
    return link;
  }
  // The system's own commands may use any connection. They take the one that
  // its account is least likely to need.
  if (need.server.empty() || idle.empty()) {
    return nullptr;
  }
  server_link* oldest = idle.front();
  idle.erase(idle.begin());
  return oldest;
}

server_link* connection_pool::FindIdleOfAccount(
    const sessions::connection_requirements& need,
    int& missing) {
  std::vector<std::string> lacking;
  int opening = 0;
  for (const std::string& id : ServersFor(need)) {
    if (!need.transaction && !MayRun(id)) {
      continue;
    }
    server_links& links = servers_[id];
    if (server_link* link = TakeIdle(links, need)) {
      return link;
    }
    lacking.push_back(id);
    const auto of_account = links.opening_by_account.find(need.account);
    opening +=
        of_account == links.opening_by_account.end() ? 0 : of_account->second;
  }
  missing += 1;
  // A connection at one server is enough: it costs a slot there for 12 ms, and
  // possibly the idle connection of another account.
  if (opening < missing) {
    std::any_of(lacking.begin(), lacking.end(),
                [this, &need](const std::string& id) {
                  return OpenForAccount(id, need.account);
                });
  }
  return nullptr;
}

bool connection_pool::OpenForAccount(const std::string& server,
                                     const std::string& account) {
  server_links& links = servers_[server];
  if (links.opening >= kMaxOpening) {
    return false;
  }
  if (links.retry_open_at > core::clock::now()) {
    ArmWake(links.retry_open_at);
    return false;
  }
  return HasRoomFor(links, account) && Open(server, links, account);
}

bool connection_pool::HasRoomFor(server_links& links,
                                 const std::string& account) {
  const int replace_from =
      limits_.replace_from > 0 ? limits_.replace_from : limits_.max_open;
  return static_cast<int>(links.all.size()) < replace_from ||
         ReplaceIdle(links, account) ||
         static_cast<int>(links.all.size()) < limits_.max_open;
}

bool connection_pool::ReplaceIdle(server_links& links,
                                  const std::string& account) {
  const auto oldest = std::find_if(links.idle.begin(), links.idle.end(),
                                   [&account](const server_link* each) {
                                     return each->Account() != account;
                                   });
  if (oldest == links.idle.end()) {
    return false;
  }
  server_link* closed = *oldest;
  links.idle.erase(oldest);
  closed->Close();
  listener_.OnConnectionReplaced();
  return true;
}

void connection_pool::CloseIdleOfRemovedAccounts(
    const std::map<std::string, core::client_account>& accounts) {
  for (auto& [id, links] : servers_) {
    std::vector<server_link*> removed;
    std::copy_if(links.idle.begin(), links.idle.end(),
                 std::back_inserter(removed),
                 [&accounts](const server_link* each) {
                   return !each->Account().empty() &&
                          !accounts.contains(each->Account());
                 });
    for (server_link* each : removed) {
      std::erase(links.idle, each);
      each->Close();
    }
  }
}

}  // namespace plantaintiller::gateway
