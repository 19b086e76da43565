#include "plantaintiller/standin/platform_table.h"

namespace plantaintiller::standin {

std::optional<table_row> platform_table::Read(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? std::nullopt : std::optional(found->second);
}

bool platform_table::CompareAndSet(const std::string& key,
                                   std::uint64_t expected_version,
                                   const std::string& value) {
  const auto found = rows_.find(key);
  const std::uint64_t version =
      found == rows_.end() ? 0 : found->second.version;
  if (version != expected_version) {
    return false;
  }
  rows_[key] = {version + 1, value};
  return true;
}

}  // namespace plantaintiller::standin
