#include "plantaintiller/replication/promotion_orders.h"

#include <algorithm>

namespace plantaintiller::replication {

void promotion_orders::OnGiven(const std::string& server,
                               std::uint64_t token,
                               core::time_point now,
                               core::duration lifetime) {
  orders_[server].push_back({token, now, now + lifetime, false});
}

void promotion_orders::OnUnanswered(const std::string& server,
                                    std::uint64_t token) {
  if (order* found = Find(server, token)) {
    found->unanswered = true;
  }
}

void promotion_orders::OnAccepted(const std::string& server,
                                  std::uint64_t token,
                                  core::time_point until) {
  order* found = Find(server, token);
  if (found != nullptr && !found->unanswered) {
    found->until = until;
  }
}

promotion_orders::order* promotion_orders::Find(const std::string& server,
                                                std::uint64_t token) {
  const auto found = orders_.find(server);
  if (found == orders_.end()) {
    return nullptr;
  }
  // A refused order is given again under the same token.
  const auto last =
      std::find_if(found->second.rbegin(), found->second.rend(),
                   [token](const order& each) { return each.token == token; });
  return last == found->second.rend() ? nullptr : &*last;
}

void promotion_orders::OnRefused(const std::string& server,
                                 std::uint64_t token) {
  EraseIf(server, [token](const order& each) {
    return each.token == token && !each.unanswered;
  });
}

void promotion_orders::OnLeads(const std::string& server) {
  EraseIf(server, [](const order& each) { return !each.unanswered; });
}

void promotion_orders::Inherit(const std::string& server,
                               core::time_point given,
                               core::duration lifetime) {
  order* inherited = Find(server, 0);
  if (inherited == nullptr) {
    orders_[server].push_back({0, given, given + lifetime, true});
  } else if (given > inherited->given) {
    inherited->given = given;
    inherited->until = given + lifetime;
  }
}

void promotion_orders::Expire(core::time_point now) {
  for (auto& [server, orders] : orders_) {
    std::erase_if(orders,
                  [now](const order& each) { return now > each.until; });
  }
  std::erase_if(orders_, [](const auto& each) { return each.second.empty(); });
}

bool promotion_orders::HasOther(const std::string& server) const {
  return std::any_of(
      orders_.begin(), orders_.end(),
      [&server](const auto& each) { return each.first != server; });
}

std::map<std::string, core::time_point> promotion_orders::LatestByServer()
    const {
  std::map<std::string, core::time_point> latest;
  for (const auto& [server, orders] : orders_) {
    for (const order& each : orders) {
      latest[server] = std::max(latest[server], each.given);
    }
  }
  return latest;
}

template <class condition>
void promotion_orders::EraseIf(const std::string& server, condition holds) {
  const auto found = orders_.find(server);
  if (found == orders_.end()) {
    return;
  }
  std::erase_if(found->second, holds);
  if (found->second.empty()) {
    orders_.erase(found);
  }
}

}  // namespace plantaintiller::replication
