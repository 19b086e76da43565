#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace plantaintiller::standin {

/// Row of the stand-in platform's table.
struct table_row {
  std::uint64_t version = 0;
  std::string value;
};

/// Table with compare-and-set, as the platform's table service offers it.
class platform_table {
 public:
  /// Reads a row. @return nullopt if it does not exist.
  std::optional<table_row> Read(const std::string& key) const;
  /// Writes a row if it has the expected version; version 0 means that the row
  /// does not exist.
  /// @return whether it was written.
  bool CompareAndSet(const std::string& key,
                     std::uint64_t expected_version,
                     const std::string& value);

 private:
  std::map<std::string, table_row> rows_;
};

}  // namespace plantaintiller::standin
