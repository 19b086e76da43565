#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/core/log_position.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/codec.h"

namespace plantaintiller::replication {

/// Answers of servers to a query for their status; nothing for a query without
/// a usable answer.
using status_answers =
    std::map<std::string, std::optional<sessions::server_status>>;

/// Evidence that a server was still the leader of its group at some time. It is
/// made only from observations of other servers: the answers of all of them, or
/// a commit that one of them has received.
class leadership_evidence {
 public:
  /// Makes evidence from the answers of the servers that may have become the
  /// leader.
  /// @param leader the presumed leader.
  /// @param term newest term in which it was seen to lead.
  /// @param others servers that may have become the leader instead.
  /// @param asked time before which none of them was asked.
  /// @param answers their answers.
  /// @return nothing if `others` is empty, or if one of them did not answer,
  /// leads the same or a later term, or knows a later term.
  static std::optional<leadership_evidence> FromAnswers(
      const std::string& leader,
      core::term_number term,
      const std::vector<std::string>& others,
      core::time_point asked,
      const status_answers& answers);
  /// Makes evidence from an acknowledged commit that a replica has received.
  /// @param leader server that acknowledged the commit.
  /// @param sent time at which the commit was sent.
  static leadership_evidence FromCommit(const std::string& leader,
                                        core::time_point sent);

  /// @return whether it shows that no other server had become the leader by a
  /// time.
  /// @param server the presumed leader.
  bool Confirms(const std::string& server, core::time_point time) const {
    return server == leader_ && time <= observed_;
  }

 private:
  leadership_evidence(const std::string& leader, core::time_point observed)
      : leader_(leader), observed_(observed) {}

  std::string leader_;
  /// Time at which the server was still the leader.
  core::time_point observed_;
};

}  // namespace plantaintiller::replication
