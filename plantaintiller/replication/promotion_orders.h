#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"

namespace plantaintiller::replication {

/// Orders to promote servers of one group that may still be carried out.
///
/// The platform may carry out an order seconds after it was given, also one
/// that got no answer. Where it checks tokens, an accepted order of a higher
/// token prevents that. Where it does not, only time does: an order that is
/// carried out when another server leads takes the lead back, without the
/// commits since. Whether the ordered server is a good candidate does not
/// matter to that, as it may be draining, cut off or restarted by then.
///
/// The orders outlive the change that gave them. They are part of the group's
/// claim, from which the next holder inherits them.
class promotion_orders {
 public:
  struct order {
    /// Fencing token; 0 if another holder gave it.
    std::uint64_t token = 0;
    /// The latest time at which it may have been given.
    core::time_point given;
    /// When it can no longer make its server the leader.
    core::time_point until;
    bool unanswered = false;
  };

  /// Called before an order is given.
  /// @param lifetime from the giving of an order without an answer until its
  /// server leads, at the latest.
  void OnGiven(const std::string& server,
               std::uint64_t token,
               core::time_point now,
               core::duration lifetime);
  /// Called when an order got no answer.
  void OnUnanswered(const std::string& server, std::uint64_t token);
  /// Called when an order was accepted.
  /// @param until when its server leads, at the latest.
  void OnAccepted(const std::string& server,
                  std::uint64_t token,
                  core::time_point until);
  /// Called when an order was refused.
  void OnRefused(const std::string& server, std::uint64_t token);
  /// Called when a server leads. Its accepted orders have been carried out; one
  /// without an answer may be carried out again.
  void OnLeads(const std::string& server);
  /// Adds an order of an earlier holder.
  /// @param given the latest time at which it may have been given.
  /// @param lifetime as for `OnGiven`.
  void Inherit(const std::string& server,
               core::time_point given,
               core::duration lifetime);
  /// Removes the orders that can no longer be carried out.
  void Expire(core::time_point now);
  /// Removes all orders, because one of a higher token was accepted.
  void Clear() { orders_.clear(); }

  bool IsEmpty() const { return orders_.empty(); }
  /// @return whether an order may promote another server than this one.
  bool HasOther(const std::string& server) const;
  /// @return the orders by server, those of each in the order of giving.
  const std::map<std::string, std::vector<order>>& ByServer() const {
    return orders_;
  }
  /// @return the latest time at which an order for a server may have been
  /// given, for each server.
  std::map<std::string, core::time_point> LatestByServer() const;

 private:
  order* Find(const std::string& server, std::uint64_t token);
  template <class condition>
  void EraseIf(const std::string& server, condition holds);

  std::map<std::string, std::vector<order>> orders_;
};

}  // namespace plantaintiller::replication
