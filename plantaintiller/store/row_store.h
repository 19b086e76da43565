#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/store/row_version.h"

namespace plantaintiller::store {

/// A row of the store.
struct row {
  std::string table;
  std::string part;
  std::string key;
  std::string value;
  row_version version = 0;
  /// In changes: the row was removed.
  bool removed = false;
};

/// An atomic change that is applied only if its conditions hold.
struct row_transaction {
  /// Rows with the versions that they must have; 0 means that the row must not
  /// exist. Values are ignored.
  std::vector<row> expected;
  /// Rows to write; versions are ignored.
  std::vector<row> writes;
  /// Rows to remove; only their keys are used.
  std::vector<row> removed;
};

/// Result of a call to the store.
enum class call_status : std::uint8_t {
  kDone,
  /// A condition did not hold; the answer contains the current rows.
  kConflict,
  /// Nothing was done: the store refused the call or could not be reached.
  kRefused,
  /// No answer: the call may have been carried out, or may still be.
  kUnknown,
  /// On changes: the store no longer has the requested history.
  kHistoryUnavailable,
};

/// Answer of the store with rows.
struct rows_answer {
  call_status status = call_status::kRefused;
  std::vector<row> rows;
  /// Newest version of the store.
  row_version newest_version = 0;
  /// Time by the store's steady clock.
  core::milliseconds now{0};
  /// Whether more rows follow the last one.
  bool truncated = false;
};

/// Receives the answer to a call; called once, later than the call.
using rows_callback = std::function<void(rows_answer)>;

/// The platform's transactional row store.
class row_store {
 public:
  virtual ~row_store() = default;
  /// Reads the rows of a part of a table, starting at a key.
  /// @param part may be empty.
  /// @param from first key.
  /// @param done receives the rows.
  virtual void Read(const std::string& table,
                    const std::string& part,
                    const std::string& from,
                    rows_callback done) = 0;
  /// Waits for changes of a table.
  /// @param after version that is already known.
  /// @param wait longest time to wait if there is no change.
  /// @param done receives the changed rows.
  virtual void WaitForChanges(const std::string& table,
                              row_version after,
                              core::milliseconds wait,
                              rows_callback done) = 0;
  /// Applies a transaction, either completely or not at all.
  /// @param done receives the result.
  virtual void Commit(const row_transaction& change, rows_callback done) = 0;
};

}  // namespace plantaintiller::store
