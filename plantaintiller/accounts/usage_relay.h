#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "plantaintiller/accounts/usage_report.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::accounts {

/// Messages that a relay passes on, merged until they are sent. Does no input
/// or output.
///
/// Reports of its own zone go to the relays of the other zones and to the
/// instances of the zone that admit operations, reports of other zones only to
/// the latter; so no report travels in a circle.
class usage_relay {
 public:
  /// @param zone hash of the relay's own zone.
  explicit usage_relay(std::uint32_t zone) : zone_(zone) {}

  /// Takes in a report that was not known before, also the relay's own.
  void OnReport(const usage_report& report);
  /// Takes in the liveness of another zone.
  void OnZone(const zone_liveness& zone, core::time_point now);
  /// Whether a message is due.
  bool IsDue(bool urgent, core::time_point now) const;

  /// Messages of one flush.
  struct flush {
    /// For the relays of the other zones.
    usage_message zones;
    /// For the instances of this zone.
    usage_message members;
  };
  /// @return all that was taken in since the last flush.
  /// @param own_zone liveness of the own zone, as this relay knows it.
  flush Take(const zone_liveness& own_zone, core::time_point now);

 private:
  struct known_zone {
    zone_liveness liveness;
    core::time_point received_at;
  };
  std::uint32_t zone_;
  std::map<std::uint64_t, usage_report> reports_;
  std::map<std::uint32_t, known_zone> zones_;
  bool has_accounts_ = false;
  core::time_point sent_at_;
};

}  // namespace plantaintiller::accounts
