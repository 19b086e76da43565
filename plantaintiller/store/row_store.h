#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"

namespace plantaintiller::store {

/// Version of a row; it rises with each transaction of the store.
using row_version = std::uint64_t;

/// A row as the store gives it.
struct row {
  std::string table;
  std::string part;
  std::string key;
  std::string value;
  row_version version = 0;
  /// In changes: the row is gone.
  bool removed = false;
};

/// One atomic change under conditions.
struct row_transaction {
  /// Version that each row must have; 0 means that it must not exist. Values
  /// are ignored.
  std::vector<row> expected;
  /// Rows to write; versions are ignored.
  std::vector<row> writes;
  /// Rows to remove; only the keys count.
  std::vector<row> removed;
};

/// How a call to the store ended.
enum class call_status : std::uint8_t {
  kDone,
  /// A condition did not hold; the current rows are given.
  kConflict,
  /// Nothing was done: the store refuses or cannot be reached.
  kRefused,
  /// No answer: it may have been done, or may yet be.
  kUnknown,
  /// On changes: the history asked for is gone.
  kHistoryUnavailable,
};

/// Answer about rows.
struct rows_answer {
  call_status status = call_status::kRefused;
  std::vector<row> rows;
  /// Newest version of the store.
  row_version newest_version = 0;
  /// The store's steady clock.
  core::milliseconds now{0};
  /// Whether more rows stand behind the last one.
  bool truncated = false;
};

using rows_callback = std::function<void(rows_answer)>;

/// The platform's transactional rows.
class row_store {
 public:
  virtual ~row_store() = default;
  /// Reads the rows of a table's part from a key on.
  /// @param part may be empty; @param from first key; @param done called
  /// later, once.
  virtual void Read(const std::string& table,
                    const std::string& part,
                    const std::string& from,
                    rows_callback done) = 0;
  /// Waits for changes of a table. @param after version already known.
  /// @param wait longest time without a change.
  virtual void WaitForChanges(const std::string& table,
                              row_version after,
                              core::milliseconds wait,
                              rows_callback done) = 0;
  /// Applies a transaction, wholly or not at all.
  virtual void Commit(const row_transaction& change, rows_callback done) = 0;
};

/// How a call for a change of primary ended.
enum class promotion_status : std::uint8_t {
  /// Accepted; the server leads within a moment.
  kAccepted,
  /// A higher token was used for this group, or the server is not running.
  kSuperseded,
  /// Nothing was done.
  kRefused,
  /// No answer: it may be carried out later.
  kUnknown,
};

/// Longest wait for the answer to a promotion: several round trips between
/// regions. A call without an answer may be carried out later, so that it is to
/// be barred by a higher token soon.
inline constexpr core::milliseconds kPromotionTimeout{300};

/// The platform's service that makes a server the leader of its group.
class promotion_service {
 public:
  virtual ~promotion_service() = default;
  /// @param holder name of this instance; @param token fencing token, rising
  /// with each holder.
  virtual void Promote(const std::string& group,
                       const std::string& server,
                       const std::string& holder,
                       std::uint64_t token,
                       std::function<void(promotion_status)> done) = 0;
};

}  // namespace plantaintiller::store
