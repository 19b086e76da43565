#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "plantaintiller/accounts/limiter_settings.h"
#include "plantaintiller/accounts/operation_limiter.h"
#include "plantaintiller/accounts/usage_report.h"
#include "plantaintiller/core/client_account.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::accounts {

/// Counts of an account at this instance.
struct account_counts {
  std::string account;
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
};

/// Receives the beginnings and ends of refusals.
class rate_limiter_listener {
 public:
  virtual ~rate_limiter_listener() = default;
  /// Called when operations of an account begin to be refused, and when none
  /// has been refused for a while.
  /// @param refused operations that were refused; 0 at the beginning.
  virtual void OnLimitChange(const std::string& account,
                             bool refusing,
                             std::uint64_t refused) = 0;
};

/// Limits the operations of all accounts at one instance, and decides what it
/// reports to the others. Does no input or output.
class rate_limiter final : public operation_limiter {
 public:
  /// @param instance hash of this instance's name. @param zone hash of its
  /// zone's name. @param incarnation a number that differs after each start.
  /// @param listener must outlive the object.
  rate_limiter(const limiter_settings& settings,
               std::uint64_t instance,
               std::uint32_t zone,
               std::uint32_t incarnation,
               rate_limiter_listener& listener,
               core::time_point now);
  ~rate_limiter() override;
  rate_limiter(const rate_limiter&) = delete;
  rate_limiter& operator=(const rate_limiter&) = delete;

  /// Hash of an account's name in reports.
  static std::uint32_t AccountHash(const std::string& account);

  /// Applies a configuration; limits that stay keep their state.
  void SetAccounts(const std::map<std::string, core::client_account>& accounts,
                   core::time_point now);
  /// Whether any account has a limit; otherwise nothing is reported.
  bool HasLimits() const;
  /// Sets the number of instances that may exist, with this one; only used
  /// shortly after the start, until all have been heard of.
  void SetExpectedInstances(std::size_t instances);

  std::optional<core::duration> Admit(const std::string& account,
                                      core::time_point now) override;

  /// Takes in a report. @return false if it is known already or older than one
  /// that is.
  bool OnReport(const usage_report& report, core::time_point now);
  /// Takes in which instances of a zone its relays hear.
  void OnZone(const zone_liveness& zone, core::time_point now);
  /// Called when the machine has been suspended, which the steady clock does
  /// not count: what others admitted meanwhile is no debt of this instance.
  void OnSuspension(core::time_point now);
  /// Evaluates what time has changed. To be called every few 10 ms while
  /// there are limits.
  void Tick(core::time_point now);
  /// @return the report that is due now, if any.
  std::optional<usage_report> TakeReport(core::time_point now);
  /// @return a last report, by which the others take over this instance's part.
  usage_report TakeLastReport();
  /// @return for relays, which instances of this zone are silent.
  zone_liveness OwnZone(core::time_point now) const;

  /// Whether an account is close to its limit here or elsewhere.
  bool IsUrgent(core::time_point now) const;
  /// @return counts of all accounts with a limit.
  std::vector<account_counts> Counts() const;
  /// Estimate of the tokens left to an account over all instances.
  std::optional<double> Tokens(const std::string& account) const;
  /// Number of other instances that are known, and of those the silent ones.
  std::size_t KnownInstances() const;
  std::size_t SilentInstances() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::accounts
