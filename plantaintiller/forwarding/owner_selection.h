#pragma once

#include <string>
#include <vector>

namespace plantaintiller::forwarding {

/// An instance that may serve the sessions of a database group for its
/// availability zone.
struct owner_candidate {
  std::string instance;
  std::string host;
  /// Processor share, in cores.
  double capacity = 1.0;
};

/// Chooses the home of a database group: the instance of an availability zone
/// that serves all sessions of the group there.
///
/// A backend server accepts fewer connections than a large deployment has
/// instances. With one home a zone, a group's connections stay open, its
/// statements share them, and the home sees enough commits to bound the age of
/// reads at replicas.
class owner_selection {
 public:
  /// Weighted rendezvous hashing: instances with more processor are homes of
  /// more groups, and the loss of one moves only its own groups.
  /// @return all candidates, the home first, then those that stand in for it.
  static std::vector<owner_candidate> Rank(
      const std::string& group,
      std::vector<owner_candidate> candidates);
};

}  // namespace plantaintiller::forwarding
