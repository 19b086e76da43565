#include "plantaintiller/replication/leadership_evidence.h"

#include <algorithm>

namespace plantaintiller::replication {

std::optional<leadership_evidence> leadership_evidence::FromAnswers(
    const std::string& leader,
    core::term_number term,
    const std::vector<std::string>& others,
    core::time_point asked,
    const status_answers& answers) {
  const auto is_replica = [&](const std::string& server) {
    const auto found = answers.find(server);
    if (found == answers.end() || !found->second.has_value()) {
      return false;
    }
    // A primary of an earlier term is a former leader that goes on.
    const sessions::server_status& status = *found->second;
    return status.term < term || (status.term == term && !status.is_primary);
  };
  if (others.empty() ||
      !std::all_of(others.begin(), others.end(), is_replica)) {
    return std::nullopt;
  }
  return leadership_evidence(leader, asked);
}

leadership_evidence leadership_evidence::FromCommit(const std::string& leader,
                                                    core::time_point sent) {
  return leadership_evidence(leader, sent);
}

}  // namespace plantaintiller::replication
