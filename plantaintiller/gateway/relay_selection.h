#pragma once

#include <string>
#include <vector>

namespace plantaintiller::gateway {

/// An instance that may relay news.
struct relay_candidate {
  std::string name;
  std::string zone;
  std::string host;
};

/// Chooses whom an instance tells its news.
class relay_selection {
 public:
  /// Instances of each availability zone that pass news on.
  static constexpr std::size_t kRelaysPerZone = 2;

  /// Relays that read the store for all others.
  static constexpr std::size_t kStoreReaders = 4;

  /// Whether an instance has to read the store for others. Parameters as below.
  static bool IsStoreReader(const relay_candidate& self,
                            const std::vector<relay_candidate>& live,
                            std::size_t small_deployment);
  /// @param self the instance that tells; @param live others believed alive;
  /// @param small_deployment up to this many instances everyone tells everyone.
  /// @return hosts to tell: all others in a small deployment; else the relays
  /// of its zone, and for a relay its whole zone and the relays of the others.
  static std::vector<std::string> Targets(
      const relay_candidate& self,
      const std::vector<relay_candidate>& live,
      std::size_t small_deployment);
};

}  // namespace plantaintiller::gateway
