#pragma once

#include <cstdint>
#include <vector>

namespace plantaintiller::accounts {

/// Use of one account at one instance.
struct account_usage {
  /// Hash of the account's name.
  std::uint32_t account = 0;
  /// Operations admitted since the start of the process, modulo 2^16.
  std::uint16_t admitted = 0;
  /// Recent operations a second that callers asked for, refused ones included.
  double demand = 0;
  friend bool operator==(const account_usage&, const account_usage&) = default;
};

/// Announcement of an instance to the others: what it admitted.
struct usage_report {
  /// Hash of the instance's name.
  std::uint64_t instance = 0;
  /// Hash of the name of the instance's availability zone.
  std::uint32_t zone = 0;
  /// Differs after each start of the process.
  std::uint32_t incarnation = 0;
  /// Rises with each report of an incarnation.
  std::uint32_t sequence = 0;
  /// Whether the sender has just started and needs the use by all others.
  bool joining = false;
  /// Whether an account is close to its limit, so that all should report more
  /// often.
  bool urgent = false;
  /// Whether the sender stops to admit operations; its part is free at once.
  bool leaving = false;
  /// Only accounts whose use changed; empty if the report just tells that the
  /// instance runs.
  std::vector<account_usage> accounts;
  friend bool operator==(const usage_report&, const usage_report&) = default;
};

/// Which instances of an availability zone its relays have heard from.
struct zone_liveness {
  std::uint32_t zone = 0;
  /// Time since a relay of the zone sent this, in milliseconds.
  std::uint32_t age_ms = 0;
  /// Instances that the relay has not heard from in time.
  std::vector<std::uint64_t> silent;
  friend bool operator==(const zone_liveness&, const zone_liveness&) = default;
};

/// Content of one datagram between instances.
struct usage_message {
  std::vector<usage_report> reports;
  std::vector<zone_liveness> zones;
  friend bool operator==(const usage_message&, const usage_message&) = default;
};

}  // namespace plantaintiller::accounts
