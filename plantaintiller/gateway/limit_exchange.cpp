#include "plantaintiller/gateway/limit_exchange.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <sstream>
#include <utility>

#include "plantaintiller/accounts/rate_limiter.h"
#include "plantaintiller/accounts/usage_relay.h"
#include "plantaintiller/instances/usage_codec.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using udp = asio::ip::udp;

/// Interval at which due reports are looked for; a third of the shortest
/// interval of reports.
constexpr core::milliseconds kTickInterval{50};
/// Interval at which the relays are selected again.
constexpr core::milliseconds kTargetInterval{500};
/// Time for which a relay sends to an instance of its zone after the last
/// message from it.
constexpr core::milliseconds kMemberTime{30000};
/// Suspensions that are shorter make no difference.
constexpr core::milliseconds kSuspension{100};
constexpr core::milliseconds kUnreadableLogInterval{10000};
/// Accounts with metrics of their own.
constexpr std::size_t kMetricAccounts = 20;
constexpr std::size_t kMaxMembers = 4096;

std::uint64_t Hash(const std::string& name) {
  return XXH3_64bits(name.data(), name.size());
}

/// Rises with each start, in tenths of a second of the wall clock.
std::uint32_t Incarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<core::milliseconds>(since_epoch).count() /
      100);
}

accounts::limiter_settings LimiterSettings(const gateway_settings& settings) {
  accounts::limiter_settings result;
  if (settings.limits_port == 0) {
    // Without reports the others stay unknown for ever.
    result.joining_time = std::chrono::hours(24 * 365);
  }
  return result;
}

std::string LabelValue(const std::string& text) {
  std::string escaped;
  for (const char each : text) {
    if (each == '"' || each == '\\') {
      escaped += '\\';
    }
    escaped += each == '\n' ? ' ' : each;
  }
  return escaped;
}

}  // namespace

class limit_exchange::implementation
    : public accounts::rate_limiter_listener,
      public std::enable_shared_from_this<limit_exchange::implementation> {
 public:
  implementation(asio::io_context& context,
                 const gateway_settings& settings,
                 event_log& log,
                 limit_exchange_host& host)
      : settings_(settings),
        log_(log),
        host_(host),
        socket_(context),
        timer_(context),
        limiter_(LimiterSettings(settings),
                 Hash(settings.instance),
                 static_cast<std::uint32_t>(Hash(settings.zone)),
                 Incarnation(),
                 *this,
                 core::clock::now()),
        relay_(static_cast<std::uint32_t>(Hash(settings.zone))) {}

  void Start();
  void Stop();
  void OnConfiguration(const core::route_table& routes);
  accounts::operation_limiter& Limiter() { return limiter_; }
  std::string MetricsText() const;

  // accounts::rate_limiter_listener
  void OnLimitChange(const std::string& account,
                     bool refusing,
                     std::uint64_t refused) override {
    log_line(log_, "limits", refusing ? "refusing" : "refused")
        .With("account", account)
        .With("operations", static_cast<std::int64_t>(refused));
  }

 private:
  void Receive();
  void OnDatagram(std::size_t size);
  void Schedule();
  void Tick();
  void SelectTargets(core::time_point now);
  void SendReport(const accounts::usage_report& report);
  void Flush(core::time_point now);
  void Send(const accounts::usage_message& message,
            const std::vector<std::string>& hosts);

  const gateway_settings& settings_;
  event_log& log_;
  limit_exchange_host& host_;
  udp::socket socket_;
  asio::steady_timer timer_;
  accounts::rate_limiter limiter_;
  accounts::usage_relay relay_;
  bool scheduled_ = false;
  bool stopped_ = false;
  bool is_relay_ = false;
  core::time_point targets_at_;
  /// Hosts that receive this instance's own reports: all others in a small
  /// deployment, else the other relays of the zone.
  std::vector<std::string> own_targets_;
  /// Relays of the other zones, for a relay.
  std::vector<std::string> zone_targets_;
  /// Instances of this zone that admit operations, for a relay, with the time
  /// of the last message.
  std::map<std::string, core::time_point> members_;
  udp::endpoint sender_;
  std::array<char, 2048> receive_buffer_{};
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_bytes_ = 0;
  std::uint64_t unreadable_ = 0;
  core::time_point unreadable_logged_at_;
  core::duration suspended_ = core::SuspendedTime();
};

void limit_exchange::implementation::Start() {
  if (settings_.limits_port == 0) {
    return;
  }
  socket_.open(udp::v4());
  socket_.bind(
      {asio::ip::make_address(settings_.peers.host), settings_.limits_port});
  Receive();
}

void limit_exchange::implementation::Stop() {
  if (stopped_) {
    return;
  }
  if (limiter_.HasLimits()) {
    const accounts::usage_report last = limiter_.TakeLastReport();
    SendReport(last);
    if (is_relay_) {
      relay_.OnReport(last);
      Flush(core::clock::now());
    }
  }
  stopped_ = true;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void limit_exchange::implementation::OnConfiguration(
    const core::route_table& routes) {
  const core::time_point now = core::clock::now();
  limiter_.SetExpectedInstances(host_.AdmittingInstances());
  limiter_.SetAccounts(routes.accounts, now);
  if (limiter_.HasLimits() && settings_.limits_port == 0) {
    log_line(log_, "limits", "no_port")
        .With("detail", "the port range has no third port");
  }
  Schedule();
}

void limit_exchange::implementation::Schedule() {
  if (scheduled_ || stopped_ || !limiter_.HasLimits()) {
    return;
  }
  scheduled_ = true;
  timer_.expires_after(kTickInterval);
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    self->scheduled_ = false;
    if (!cancelled && !self->stopped_) {
      self->Tick();
      self->Schedule();
    }
  });
}

void limit_exchange::implementation::Tick() {
  const core::time_point now = core::clock::now();
  if (now - targets_at_ >= kTargetInterval) {
    SelectTargets(now);
  }
  const core::duration suspended = core::SuspendedTime();
  if (suspended - suspended_ >= kSuspension) {
    limiter_.OnSuspension(now);
  }
  suspended_ = suspended;
  limiter_.Tick(now);
  if (const auto report = limiter_.TakeReport(now)) {
    SendReport(*report);
    if (is_relay_) {
      relay_.OnReport(*report);
    }
  }
  // A zone without use of accounts has nothing to tell.
  const bool has_use = !members_.empty() || limiter_.KnownInstances() > 0;
  if (is_relay_ && has_use && relay_.IsDue(limiter_.IsUrgent(now), now)) {
    Flush(now);
  }
}

void limit_exchange::implementation::SelectTargets(core::time_point now) {
  targets_at_ = now;
  limiter_.SetExpectedInstances(host_.AdmittingInstances());
  const std::vector<relay_candidate> live = host_.LimitPeers();
  const relay_candidate self{settings_.instance, settings_.zone,
                             settings_.peers.host};
  is_relay_ = relay_selection::IsRelay(self, live, settings_.small_deployment);
  own_targets_.clear();
  zone_targets_.clear();
  if (!is_relay_) {
    own_targets_ =
        relay_selection::Targets(self, live, settings_.small_deployment);
  } else {
    for (const relay_candidate& each :
         relay_selection::OtherRelays(self, live)) {
      (each.zone == settings_.zone ? own_targets_ : zone_targets_)
          .push_back(each.host);
      members_.erase(each.host);
    }
  }
  std::erase_if(members_, [this, now](const auto& entry) {
    return !is_relay_ || now - entry.second >= kMemberTime;
  });
}

void limit_exchange::implementation::SendReport(
    const accounts::usage_report& report) {
  accounts::usage_message message;
  message.reports.push_back(report);
  Send(message, own_targets_);
}

void limit_exchange::implementation::Flush(core::time_point now) {
  const accounts::usage_relay::flush flush =
      relay_.Take(limiter_.OwnZone(now), now);
  Send(flush.zones, zone_targets_);
  std::vector<std::string> members;
  for (const auto& [host, seen_at] : members_) {
    members.push_back(host);
  }
  Send(flush.members, members);
}

void limit_exchange::implementation::Send(
    const accounts::usage_message& message,
    const std::vector<std::string>& hosts) {
  if (hosts.empty() || !socket_.is_open()) {
    return;
  }
  for (const std::string& bytes : instances::EncodeUsage(message)) {
    for (const std::string& host : hosts) {
      error_code error;
      const auto address = asio::ip::make_address(host, error);
      if (error) {
        continue;
      }
      // A datagram that cannot be sent is treated like one lost in the network.
      socket_.send_to(asio::buffer(bytes), {address, settings_.limits_port}, 0,
                      error);
      sent_bytes_ += bytes.size();
    }
  }
}

void limit_exchange::implementation::Receive() {
  socket_.async_receive_from(
      asio::buffer(receive_buffer_), sender_,
      [self = shared_from_this()](error_code failed, std::size_t size) {
        if (failed == asio::error::operation_aborted || self->stopped_) {
          return;
        }
        if (!failed) {
          self->OnDatagram(size);
        }
        self->Receive();
      });
}

void limit_exchange::implementation::OnDatagram(std::size_t size) {
  const core::time_point now = core::clock::now();
  received_bytes_ += size;
  const auto message = instances::DecodeUsage(receive_buffer_.data(), size);
  if (!message.has_value()) {
    unreadable_ += 1;
    if (unreadable_ == 1 ||
        now - unreadable_logged_at_ >= kUnreadableLogInterval) {
      unreadable_logged_at_ = now;
      log_line(log_, "limits", "unreadable_datagram")
          .With("from", sender_.address().to_string())
          .With("count", static_cast<std::int64_t>(unreadable_));
    }
    return;
  }
  for (const accounts::usage_report& each : message->reports) {
    if (limiter_.OnReport(each, now) && is_relay_) {
      relay_.OnReport(each);
    }
  }
  for (const accounts::zone_liveness& each : message->zones) {
    limiter_.OnZone(each, now);
    if (is_relay_) {
      relay_.OnZone(each, now);
    }
  }
  // Relays of other zones are no members of this one. They are recognized by
  // their address, because only the first datagram of a message carries the
  // liveness of a zone.
  const std::string host = sender_.address().to_string();
  const auto has_host = [&host](const std::vector<std::string>& hosts) {
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
  };
  if (is_relay_ && message->zones.empty() && members_.size() < kMaxMembers &&
      !has_host(own_targets_) && !has_host(zone_targets_)) {
    members_[host] = now;
  }
}

std::string limit_exchange::implementation::MetricsText() const {
  std::ostringstream out;
  std::vector<accounts::account_counts> counts = limiter_.Counts();
  if (counts.empty()) {
    return {};
  }
  std::sort(counts.begin(), counts.end(), [](const auto& one, const auto& two) {
    return one.admitted + one.refused > two.admitted + two.refused;
  });
  if (counts.size() > kMetricAccounts) {
    accounts::account_counts others;
    for (std::size_t n = kMetricAccounts; n < counts.size(); ++n) {
      others.admitted += counts[n].admitted;
      others.refused += counts[n].refused;
    }
    counts.resize(kMetricAccounts);
    counts.push_back(others);
  }
  out << "# TYPE plantaintiller_account_operations_total counter\n";
  for (const accounts::account_counts& each : counts) {
    // The others' sum has no account.
    const std::string label =
        "plantaintiller_account_operations_total{account=\"" +
        LabelValue(each.account) + "\",result=\"";
    out << label << "admitted\"} " << each.admitted << "\n"
        << label << "refused\"} " << each.refused << "\n";
  }
  const auto write = [&out](const char* name, const char* type,
                            std::uint64_t value) {
    out << "# TYPE plantaintiller_limit_" << name << " " << type << "\n"
        << "plantaintiller_limit_" << name << " " << value << "\n";
  };
  write("instances", "gauge", limiter_.KnownInstances() + 1);
  write("silent_instances", "gauge", limiter_.SilentInstances());
  write("sent_bytes_total", "counter", sent_bytes_);
  write("received_bytes_total", "counter", received_bytes_);
  write("unreadable_datagrams_total", "counter", unreadable_);
  return out.str();
}

limit_exchange::limit_exchange(asio::io_context& context,
                               const gateway_settings& settings,
                               event_log& log,
                               limit_exchange_host& host)
    : implementation_(
          std::make_shared<implementation>(context, settings, log, host)) {}

limit_exchange::~limit_exchange() {
  implementation_->Stop();
}

void limit_exchange::Start() {
  implementation_->Start();
}

void limit_exchange::Stop() {
  implementation_->Stop();
}

void limit_exchange::OnConfiguration(const core::route_table& routes) {
  implementation_->OnConfiguration(routes);
}

accounts::operation_limiter& limit_exchange::Limiter() {
  return implementation_->Limiter();
}

std::string limit_exchange::MetricsText() const {
  return implementation_->MetricsText();
}

}  // namespace plantaintiller::gateway
