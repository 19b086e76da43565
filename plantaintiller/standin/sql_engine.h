#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaintiller::standin {

using cell = std::optional<std::string>;

/// Result of a statement.
struct sql_result {
  bool failed = false;
  std::string sqlstate;
  std::string message;
  std::vector<std::string> columns;
  std::vector<std::vector<cell>> rows;
  std::uint64_t affected_rows = 0;
  /// Whether the statement may change data.
  bool is_write = false;
};

/// In-memory SQLite database that reports errors with PostgreSQL's codes.
class sql_engine {
 public:
  sql_engine();
  ~sql_engine();

  /// Drops all data.
  void Reset();
  /// Runs one statement.
  /// @param allow_writes if false, statements that write fail.
  sql_result Run(const std::string& sql,
                 const std::vector<cell>& params,
                 bool allow_writes);
  /// Names of a statement's result columns; empty if it has none or is invalid.
  std::vector<std::string> Describe(const std::string& sql) const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::standin
