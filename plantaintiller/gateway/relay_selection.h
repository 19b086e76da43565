#pragma once

#include <map>
#include <string>
#include <vector>

namespace plantaintiller::gateway {

/// An instance that may be selected as a relay of heartbeats.
struct relay_candidate {
  std::string name;
  std::string zone;
  std::string host;
  /// Whether it is known to be there, so that others may rely on it.
  bool is_confirmed = true;
};

/// Selects the instances to which an instance sends its heartbeats.
class relay_selection {
 public:
  /// Number of instances in each availability zone that relay announcements.
  static constexpr std::size_t kRelaysPerZone = 2;

  /// Number of relays that read the store for all other instances.
  static constexpr std::size_t kStoreReaders = 4;

  /// Names of the relays of each availability zone.
  /// @param self the selecting instance.
  /// @param live other instances that are considered alive.
  static std::map<std::string, std::vector<std::string>> Relays(
      const relay_candidate& self,
      const std::vector<relay_candidate>& live);
  /// Whether an instance reads the store for others; true for all in a small
  /// deployment. Parameters as of `Targets`.
  static bool IsStoreReader(const relay_candidate& self,
                            const std::vector<relay_candidate>& live,
                            std::size_t small_deployment);
  /// Whether an instance passes messages on; false for all in a small
  /// deployment. Parameters as of `Targets`.
  static bool IsRelay(const relay_candidate& self,
                      const std::vector<relay_candidate>& live,
                      std::size_t small_deployment);
  /// @return the relays of all zones in a large deployment, without `self`.
  static std::vector<relay_candidate> OtherRelays(
      const relay_candidate& self,
      const std::vector<relay_candidate>& live);
  /// @param self the sending instance.
  /// @param live other instances that are considered alive.
  /// @param small_deployment up to this many instances, each sends to all
  /// others.
  /// @return hosts to send to: all others in a small deployment; else the
  /// relays of the sender's zone, and for a relay all instances of its zone and
  /// the relays of the other zones.
  static std::vector<std::string> Targets(
      const relay_candidate& self,
      const std::vector<relay_candidate>& live,
      std::size_t small_deployment);
};

}  // namespace plantaintiller::gateway
