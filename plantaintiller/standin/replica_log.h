#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "plantaintiller/core/log_position.h"

namespace plantaintiller::standin {

/// Log of one stand-in backend server, with the term that it has adopted.
///
/// Offsets start at 1. The first entry of every term has no content.
template <class content>
class replica_log {
 public:
  struct entry {
    core::term_number term = 0;
    content value{};
  };

  core::server_state State() const {
    return {adopted_term_, LastPosition(), is_primary_};
  }
  core::log_position LastPosition() const {
    return entries_.empty()
               ? core::log_position()
               : core::log_position{entries_.back().term, entries_.size()};
  }
  const std::vector<entry>& Entries() const { return entries_; }

  /// Makes the server primary of a term. Idempotent.
  /// @return false if it has adopted this term as a follower, or a later one.
  bool Promote(core::term_number term) {
    if (term < adopted_term_ || (term == adopted_term_ && !is_primary_)) {
      return false;
    }
    if (term > adopted_term_) {
      adopted_term_ = term;
      is_primary_ = true;
      entries_.push_back({term, {}});
    }
    return true;
  }

  /// Whether a term is newer than the adopted one, so that a command to follow
  /// in it has yet to be carried out.
  bool IsNewerTerm(core::term_number term) const {
    return term > adopted_term_;
  }

  /// Adopts a term as a follower and drops the entries that the primary does
  /// not have.
  /// @param common offset up to which both logs are the same.
  void Follow(core::term_number term, std::size_t common) {
    adopted_term_ = term;
    is_primary_ = false;
    entries_.resize(common);
  }

  /// Appends an entry in the adopted term. Call only on the primary.
  void Append(content value) {
    entries_.push_back({adopted_term_, std::move(value)});
  }

  /// Appends an entry from the primary of the adopted term.
  void Receive(entry received) { entries_.push_back(std::move(received)); }

  /// Length of the longest common prefix of two logs. Entries with the same
  /// term and offset are identical, because a term has one primary, so it
  /// suffices to compare terms.
  static std::size_t CommonPrefix(const replica_log& a, const replica_log& b) {
    std::size_t common = std::min(a.entries_.size(), b.entries_.size());
    while (common > 0 &&
           a.entries_[common - 1].term != b.entries_[common - 1].term) {
      common -= 1;
    }
    return common;
  }

 private:
  core::term_number adopted_term_ = 0;
  bool is_primary_ = false;
  std::vector<entry> entries_;
};

}  // namespace plantaintiller::standin
