#pragma once

#include <string>
#include <vector>

namespace plantaintiller::forwarding {

/// An instance that may own the sessions of a database group in its
/// availability zone.
struct owner_candidate {
  /// Name of the instance.
  std::string instance;
  /// IP address of the instance.
  std::string host;
  /// Processor share, in cores.
  double capacity = 1.0;
};

/// Selects the session owner of a database group: the instance of an
/// availability zone that serves all sessions of the group in that zone.
///
/// A backend server accepts fewer connections than a large deployment has
/// instances. With one owner per zone, a group's connections stay open and are
/// shared by its statements, and the owner sees enough commits to bound the age
/// of reads at replicas.
class owner_selection {
 public:
  /// Ranks the candidates by weighted rendezvous hashing: instances with a
  /// larger processor share own more groups, and the loss of an instance moves
  /// only the groups that it owned.
  /// @param group name of the database group.
  /// @param candidates in any order.
  /// @return all candidates: the owner first, then its replacements in order.
  static std::vector<owner_candidate> Rank(
      const std::string& group,
      std::vector<owner_candidate> candidates);
};

}  // namespace plantaintiller::forwarding
