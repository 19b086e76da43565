#pragma once

#include <memory>
#include <optional>
#include <string>

#include "plantaintiller/core/route.h"
#include "plantaintiller/replication/group_state.h"

namespace plantaintiller::gateway {

/// Decodes the rows that operators and backend servers write to the store.
class directory_codec {
 public:
  virtual ~directory_codec() = default;
  /// Table and key of the configuration's row.
  virtual std::string ConfigurationTable() const = 0;
  virtual std::string ConfigurationKey() const = 0;
  /// Table of the backend servers' rows.
  virtual std::string ServerTable() const = 0;
  /// @return nothing if the configuration is not valid.
  virtual std::optional<core::route_table> DecodeRoutes(
      const std::string& text) const = 0;
  /// @return the configuration with the digests of the accounts' keys in place
  /// of the keys, which `DecodeRoutes` also reads; the same text if it has no
  /// keys.
  virtual std::string WithoutKeys(const std::string& text) const = 0;
  /// @param id key of the row.
  /// @return nothing if the row does not describe a valid server.
  virtual std::optional<replication::server_entry> DecodeServer(
      const std::string& id,
      const std::string& text) const = 0;
};

}  // namespace plantaintiller::gateway
