#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <optional>

#include "plantaintiller/backends/connection.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/standin/backend_node.h"

namespace plantaintiller::standin {

/// Replicates the primary's log to a follower: fetches its entries and applies
/// each after a configurable delay.
class log_follower {
 public:
  log_follower(boost::asio::io_context& context, backend_node& node);
  ~log_follower();

  /// Follows a primary in a term, in place of the primary followed before. Has
  /// no effect if the term is not newer than that of the last call.
  void Follow(core::term_number term, const primary_address& primary);
  /// Stops replication.
  void Stop();
  /// Sets the delay between receiving an entry and applying it.
  void SetLag(core::milliseconds lag) { lag_ = lag; }

 private:
  struct delayed_entry {
    core::time_point due;
    replica_log<log_content>::entry entry;
  };

  void Fetch();
  void OnFetched(const backends::batch_result& result);
  void OnEntries(const backends::step_result& rows);
  void ApplyDue();
  void ScheduleFetch(core::milliseconds delay);
  std::size_t FetchedOffset() const;
  core::term_number TermAt(std::size_t offset) const;

  boost::asio::io_context& context_;
  backend_node& node_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<backends::connection> connection_;
  core::term_number term_ = 0;
  // Offset up to which the logs may agree. Set only while the common prefix of
  // the logs is being determined.
  std::optional<std::size_t> common_offset_candidate_;
  std::deque<delayed_entry> delayed_;
  core::milliseconds lag_{0};
};

}  // namespace plantaintiller::standin
