#include "plantaintiller/accounts/rate_limiter.h"

#include <xxhash.h>

#include "plantaintiller/accounts/account_limit.h"
#include "plantaintiller/accounts/peer_table.h"

namespace plantaintiller::accounts {

namespace {

/// Accounts in one report: less than a datagram, with the rest of the message.
constexpr std::size_t kAccountsPerReport = 120;
/// Interval at which the first report of another's start is answered with a
/// report of all accounts.
constexpr core::milliseconds kJoinAnswerInterval{1000};
/// Instances that have not been asked for an operation for this time stop to
/// report.
constexpr core::milliseconds kActiveTime{30000};
/// An account without a refusal for this time is no longer refused.
constexpr core::milliseconds kRefusalPause{5000};

}  // namespace

class rate_limiter::implementation {
 public:
  struct limited_account {
    std::unique_ptr<account_limit> limit;
    std::uint32_t hash = 0;
    bool refusing = false;
    std::uint64_t refused_before = 0;
    core::time_point refused_at;
  };

  implementation(const limiter_settings& settings,
                 std::uint64_t instance,
                 std::uint32_t zone,
                 std::uint32_t incarnation,
                 rate_limiter_listener& listener,
                 core::time_point now)
      : settings_(settings),
        listener_(listener),
        started_at_(now),
        peers_(settings_, now),
        sent_at_(now - settings.alive_interval),
        calm_sent_at_(now - settings.calm_interval),
        refreshed_at_(now),
        active_until_(now) {
    own_.instance = instance;
    own_.zone = zone;
    own_.incarnation = incarnation;
  }

  void SetAccounts(const std::map<std::string, core::client_account>& accounts,
                   core::time_point now);
  std::optional<core::duration> Admit(const std::string& account,
                                      core::time_point now);
  bool OnReport(const usage_report& report, core::time_point now);
  void OnZone(const zone_liveness& zone, core::time_point now) {
    peers_.OnZone(zone, now);
  }
  void OnSuspension(core::time_point now) {
    for (auto& [name, account] : accounts_) {
      account.limit->OnSuspension(now);
    }
  }
  void Tick(core::time_point now);
  std::optional<usage_report> TakeReport(core::time_point now);
  usage_report TakeLastReport();
  zone_liveness OwnZone(core::time_point now) const;
  void SetExpected(std::size_t instances) { expected_ = instances; }
  bool IsUrgent(core::time_point now) const { return peers_.IsUrgent(now); }
  const std::map<std::string, limited_account>& Accounts() const {
    return accounts_;
  }
  std::size_t KnownInstances() const { return peers_.States().size(); }
  std::size_t SilentInstances() const { return peers_.Silent(); }

 private:
  bool IsJoining(core::time_point now) const {
    return now - started_at_ < settings_.joining_time;
  }
  void Evaluate(account_limit& limit, core::time_point now);
  limited_account* Find(std::uint32_t hash);
  void ForgetCounters(std::uint64_t instance);

  const limiter_settings settings_;
  rate_limiter_listener& listener_;
  core::time_point started_at_;
  std::map<std::string, limited_account> accounts_;
  std::map<std::uint32_t, limited_account*> by_hash_;
  peer_table peers_;
  std::size_t expected_ = 1;
  usage_report own_;
  core::time_point sent_at_;
  core::time_point calm_sent_at_;
  core::time_point refreshed_at_;
  bool refresh_ = false;
  core::time_point active_until_;
  /// Whether this instance has reported since it was last inactive.
  bool active_ = false;
};

void rate_limiter::implementation::SetAccounts(
    const std::map<std::string, core::client_account>& accounts,
    core::time_point now) {
  std::erase_if(accounts_, [&accounts](const auto& entry) {
    const auto found = accounts.find(entry.first);
    return found == accounts.end() || found->second.rate_per_s <= 0;
  });
  for (const auto& [name, account] : accounts) {
    if (account.rate_per_s <= 0) {
      continue;
    }
    limited_account& known = accounts_[name];
    if (known.limit == nullptr) {
      known.hash = AccountHash(name);
      known.limit = std::make_unique<account_limit>(
          settings_, account.rate_per_s, account.burst, now);
    } else {
      known.limit->Configure(account.rate_per_s, account.burst, now);
    }
    Evaluate(*known.limit, now);
  }
  by_hash_.clear();
  for (auto& [name, account] : accounts_) {
    by_hash_[account.hash] = &account;
  }
}

std::optional<core::duration> rate_limiter::implementation::Admit(
    const std::string& account,
    core::time_point now) {
  const auto found = accounts_.find(account);
  if (found == accounts_.end()) {
    return std::nullopt;
  }
  if (now >= active_until_) {
    // Instances that admit nothing get no reports: this one has to learn what
    // the others use.
    for (auto& [name, each] : accounts_) {
      each.limit->OnActivated(now);
    }
  }
  active_until_ = now + kActiveTime;
  limited_account& known = found->second;
  const auto refused = known.limit->Admit(now);
  if (refused.has_value()) {
    known.refused_at = now;
    if (!known.refusing) {
      known.refusing = true;
      known.refused_before = known.limit->Refused() - 1;
      listener_.OnLimitChange(account, true, 0);
    }
  }
  return refused;
}

rate_limiter::implementation::limited_account*
rate_limiter::implementation::Find(std::uint32_t hash) {
  const auto found = by_hash_.find(hash);
  return found == by_hash_.end() ? nullptr : found->second;
}

void rate_limiter::implementation::ForgetCounters(std::uint64_t instance) {
  for (auto& [name, account] : accounts_) {
    account.limit->Forget(instance);
  }
}

bool rate_limiter::implementation::OnReport(const usage_report& report,
                                            core::time_point now) {
  if (report.instance == own_.instance) {
    return false;
  }
  const peer_table::sender sender = peers_.OnReport(report, now);
  if (sender == peer_table::sender::kOutdated) {
    return false;
  }
  if (sender != peer_table::sender::kSame) {
    ForgetCounters(report.instance);
  }
  if (sender == peer_table::sender::kLeft) {
    return true;
  }
  if (report.urgent || report.joining) {
    peers_.SetUrgent(now);
  }
  if (report.joining && now - refreshed_at_ >= kJoinAnswerInterval) {
    refresh_ = true;
  }
  for (const account_usage& each : report.accounts) {
    if (limited_account* account = Find(each.account)) {
      account->limit->OnUsage(report.instance, each, now);
    }
  }
  return true;
}

void rate_limiter::implementation::Evaluate(account_limit& limit,
                                            core::time_point now) {
  const std::size_t known = peers_.States().size() + 1;
  limit.Evaluate(peers_.States(),
                 IsJoining(now) ? std::max(expected_, known) : known, now);
}

void rate_limiter::implementation::Tick(core::time_point now) {
  for (const std::uint64_t forgotten : peers_.Evaluate(now)) {
    ForgetCounters(forgotten);
  }
  for (auto& [name, account] : accounts_) {
    Evaluate(*account.limit, now);
    if (account.limit->IsUrgent() && account.limit->HasDemand(now)) {
      peers_.SetUrgent(now);
    }
    if (account.refusing && now - account.refused_at >= kRefusalPause) {
      account.refusing = false;
      listener_.OnLimitChange(
          name, false, account.limit->Refused() - account.refused_before);
    }
  }
}

std::optional<usage_report> rate_limiter::implementation::TakeReport(
    core::time_point now) {
  if (now >= active_until_) {
    if (!active_) {
      return std::nullopt;
    }
    active_ = false;
    return TakeLastReport();
  }
  active_ = true;
  if (now - refreshed_at_ >= settings_.refresh_interval) {
    refresh_ = true;
  }
  // Reported together, because the head of a report is as large as six
  // accounts.
  const bool calm = now - calm_sent_at_ >= settings_.calm_interval;
  if (calm) {
    calm_sent_at_ = now;
  }
  usage_report report = own_;
  for (auto& [name, account] : accounts_) {
    const bool is_due = account.limit->IsReportDue(calm, now) ||
                        (refresh_ && account.limit->HasDemand(now));
    if (is_due && report.accounts.size() < kAccountsPerReport) {
      report.accounts.push_back(account.limit->Report(now));
      report.accounts.back().account = account.hash;
    }
  }
  const core::duration alive_interval =
      IsUrgent(now) ? settings_.urgent_interval : settings_.alive_interval;
  if (report.accounts.empty() && now - sent_at_ < alive_interval) {
    return std::nullopt;
  }
  if (refresh_) {
    refresh_ = false;
    refreshed_at_ = now;
  }
  sent_at_ = now;
  own_.sequence += 1;
  report.sequence = own_.sequence;
  report.joining = IsJoining(now);
  for (const auto& [name, account] : accounts_) {
    report.urgent = report.urgent || (account.limit->IsUrgent() &&
                                      account.limit->HasDemand(now));
  }
  return report;
}

usage_report rate_limiter::implementation::TakeLastReport() {
  own_.sequence += 1;
  usage_report report = own_;
  report.leaving = true;
  return report;
}

zone_liveness rate_limiter::implementation::OwnZone(
    core::time_point now) const {
  zone_liveness zone;
  zone.zone = own_.zone;
  zone.silent = peers_.SilentInZone(own_.zone, now);
  return zone;
}

rate_limiter::rate_limiter(const limiter_settings& settings,
                           std::uint64_t instance,
                           std::uint32_t zone,
                           std::uint32_t incarnation,
                           rate_limiter_listener& listener,
                           core::time_point now)
    : implementation_(std::make_unique<implementation>(settings,
                                                       instance,
                                                       zone,
                                                       incarnation,
                                                       listener,
                                                       now)) {}

rate_limiter::~rate_limiter() = default;

std::uint32_t rate_limiter::AccountHash(const std::string& account) {
  return static_cast<std::uint32_t>(
      XXH3_64bits(account.data(), account.size()));
}

void rate_limiter::SetAccounts(
    const std::map<std::string, core::client_account>& accounts,
    core::time_point now) {
  implementation_->SetAccounts(accounts, now);
}

bool rate_limiter::HasLimits() const {
  return !implementation_->Accounts().empty();
}

void rate_limiter::SetExpectedInstances(std::size_t instances) {
  implementation_->SetExpected(instances);
}

std::optional<core::duration> rate_limiter::Admit(const std::string& account,
                                                  core::time_point now) {
  return implementation_->Admit(account, now);
}

bool rate_limiter::OnReport(const usage_report& report, core::time_point now) {
  return implementation_->OnReport(report, now);
}

void rate_limiter::OnZone(const zone_liveness& zone, core::time_point now) {
  implementation_->OnZone(zone, now);
}

void rate_limiter::OnSuspension(core::time_point now) {
  implementation_->OnSuspension(now);
}

void rate_limiter::Tick(core::time_point now) {
  implementation_->Tick(now);
}

std::optional<usage_report> rate_limiter::TakeReport(core::time_point now) {
  return implementation_->TakeReport(now);
}

usage_report rate_limiter::TakeLastReport() {
  return implementation_->TakeLastReport();
}

zone_liveness rate_limiter::OwnZone(core::time_point now) const {
  return implementation_->OwnZone(now);
}

bool rate_limiter::IsUrgent(core::time_point now) const {
  return implementation_->IsUrgent(now);
}

std::vector<account_counts> rate_limiter::Counts() const {
  std::vector<account_counts> counts;
  for (const auto& [name, account] : implementation_->Accounts()) {
    counts.push_back(
        {name, account.limit->Admitted(), account.limit->Refused()});
  }
  return counts;
}

std::optional<double> rate_limiter::Tokens(const std::string& account) const {
  const auto found = implementation_->Accounts().find(account);
  if (found == implementation_->Accounts().end()) {
    return std::nullopt;
  }
  return found->second.limit->Tokens();
}

std::size_t rate_limiter::KnownInstances() const {
  return implementation_->KnownInstances();
}

std::size_t rate_limiter::SilentInstances() const {
  return implementation_->SilentInstances();
}

}  // namespace plantaintiller::accounts
