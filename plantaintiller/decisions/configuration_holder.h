#pragma once

#include <cstdint>
#include <memory>

#include "plantaintiller/core/configuration.h"

namespace plantaintiller::decisions {

/// Holds the configuration in force. Its version only rises, regardless of
/// where new configurations come from.
class configuration_holder {
 public:
  /// Adopts a configuration if it is newer.
  /// @param accept_older injected defect: also adopts an older one.
  /// @return whether it is now in force.
  bool Offer(const std::shared_ptr<const core::configuration>& offered,
             bool accept_older) {
    if (offered == nullptr) {
      return false;
    }
    const bool newer = Version() < offered->version;
    const bool other = Version() != offered->version;
    if (!newer && !(accept_older && other)) {
      return false;
    }
    current_ = offered;
    return true;
  }

  /// Version in force; 0 before there is one.
  std::uint64_t Version() const {
    return current_ == nullptr ? 0 : current_->version;
  }
  std::shared_ptr<const core::configuration> Current() const {
    return current_;
  }

 private:
  std::shared_ptr<const core::configuration> current_;
};

}  // namespace plantaintiller::decisions
