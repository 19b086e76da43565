#include "plantaintiller/forwarding/session_forwarder.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <utility>

#include "plantaintiller/forwarding/owner_link.h"
#include "plantaintiller/gateway/event_log.h"

namespace plantaintiller::forwarding {

namespace {

namespace asio = boost::asio;
using stream_ptr = std::shared_ptr<forwarded_stream>;

constexpr int kMaxBackoffDoublings = 3;

/// Back-off of an instance that was lost or refused a session.
struct owner_backoff {
  core::time_point retry_at;
  int failures = 0;
};

}  // namespace

class session_forwarder::implementation
    : public owner_link_listener,
      public std::enable_shared_from_this<session_forwarder::implementation> {
 public:
  implementation(asio::io_context& context,
                 const forwarder_settings& settings,
                 forwarder_host& host,
                 gateway::event_log& log)
      : context_(context), settings_(settings), host_(host), log_(log) {}

  /// Opens a session at the first owner candidate that is not in back-off.
  /// @return false if this instance should serve the session.
  bool Assign(const stream_ptr& stream);
  std::size_t Sessions() const;
  void Stop();

  void OnOwnerLost(owner_link& link, owner_loss loss) override;
  void OnRefused(owner_link& link, stream_ptr stream) override;
  std::uint64_t ConfigurationVersion() const override {
    return host_.ConfigurationVersion();
  }
  void OnNewerConfiguration(const std::string& host) override {
    host_.OnNewerConfiguration(host);
  }

 private:
  owner_link& LinkTo(const owner_candidate& chosen);
  void RecordFailure(const std::string& instance, core::milliseconds pause);
  void Reassign(const stream_ptr& stream);

  asio::io_context& context_;
  forwarder_settings settings_;
  forwarder_host& host_;
  gateway::event_log& log_;
  std::map<std::string, std::unique_ptr<owner_link>> owner_links_;
  std::map<std::string, owner_backoff> backoffs_;
};

bool session_forwarder::implementation::Assign(const stream_ptr& stream) {
  const core::time_point now = core::clock::now();
  for (const owner_candidate& each :
       owner_selection::Rank(stream->Group(), host_.OwnerCandidates())) {
    if (each.instance == settings_.instance) {
      return false;
    }
    const auto backoff = backoffs_.find(each.instance);
    if (backoff == backoffs_.end() || backoff->second.retry_at <= now) {
      LinkTo(each).Open(stream);
      return true;
    }
  }
  return false;
}

owner_link& session_forwarder::implementation::LinkTo(
    const owner_candidate& chosen) {
  std::unique_ptr<owner_link>& link = owner_links_[chosen.instance];
  if (link == nullptr) {
    link = std::make_unique<owner_link>(context_, settings_, chosen, *this);
    gateway::log_line(log_, "forwarding", "home_opened")
        .With("instance", chosen.instance)
        .With("host", chosen.host);
  }
  return *link;
}

void session_forwarder::implementation::RecordFailure(
    const std::string& instance,
    core::milliseconds pause) {
  owner_backoff& backoff = backoffs_[instance];
  const core::time_point now = core::clock::now();
  // Starts with the shortest delay again if the last failure is long past.
  if (now - backoff.retry_at > pause * (1 << kMaxBackoffDoublings)) {
    backoff.failures = 0;
  }
  backoff.retry_at = now + pause * (1 << backoff.failures);
  backoff.failures = std::min(backoff.failures + 1, kMaxBackoffDoublings);
}

void session_forwarder::implementation::OnOwnerLost(owner_link& link,
                                                    owner_loss loss) {
  const std::string instance = link.Owner().instance;
  RecordFailure(instance, loss == owner_loss::kSilent
                              ? settings_.retry_backoff
                              : settings_.refused_backoff);
  const std::vector<stream_ptr> open = link.End();
  gateway::log_line(log_, "forwarding", "home_lost")
      .With("instance", instance)
      .With("detail", loss == owner_loss::kSilent ? "silent" : "lost")
      .With("sessions", static_cast<std::int64_t>(open.size()));
  const auto found = owner_links_.find(instance);
  if (found != owner_links_.end()) {
    // Freed later because the caller of this function is a member of the link.
    const std::shared_ptr<owner_link> held = std::move(found->second);
    owner_links_.erase(found);
    asio::post(context_, [held] {});
  }
  for (const stream_ptr& each : open) {
    if (each->CanReassign()) {
      Reassign(each);
    } else {
      each->End(session_end::kUnexpected);
    }
  }
}

void session_forwarder::implementation::OnRefused(owner_link& link,
                                                  stream_ptr stream) {
  gateway::log_line(log_, "forwarding", "refused")
      .With("instance", link.Owner().instance)
      .With("group", stream->Group());
  RecordFailure(link.Owner().instance, settings_.refused_backoff);
  if (stream->CanReassign()) {
    Reassign(stream);
  } else {
    stream->End(session_end::kUnexpected);
  }
}

void session_forwarder::implementation::Reassign(const stream_ptr& stream) {
  if (!Assign(stream)) {
    stream->ServeLocally();
  }
}

std::size_t session_forwarder::implementation::Sessions() const {
  std::size_t count = 0;
  for (const auto& [instance, link] : owner_links_) {
    count += link->Sessions();
  }
  return count;
}

void session_forwarder::implementation::Stop() {
  for (auto& [instance, link] : owner_links_) {
    for (const stream_ptr& each : link->End()) {
      each->Detach();
    }
  }
  owner_links_.clear();
}

session_forwarder::session_forwarder(asio::io_context& context,
                                     const forwarder_settings& settings,
                                     forwarder_host& host,
                                     gateway::event_log& log)
    : implementation_(
          std::make_shared<implementation>(context, settings, host, log)) {}

session_forwarder::~session_forwarder() {
  implementation_->Stop();
}

std::shared_ptr<forwarded_session> session_forwarder::Open(
    const session_opening& opening,
    forwarded_listener& listener) {
  auto stream = std::make_shared<forwarded_stream>(opening, listener);
  return implementation_->Assign(stream) ? stream : nullptr;
}

std::size_t session_forwarder::Sessions() const {
  return implementation_->Sessions();
}

void session_forwarder::Stop() {
  implementation_->Stop();
}

}  // namespace plantaintiller::forwarding
