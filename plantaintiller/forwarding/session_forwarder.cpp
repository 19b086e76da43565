#include "plantaintiller/forwarding/session_forwarder.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <utility>

#include "plantaintiller/forwarding/home_link.h"
#include "plantaintiller/gateway/event_log.h"

namespace plantaintiller::forwarding {

namespace {

namespace asio = boost::asio;
using stream_ptr = std::shared_ptr<forwarded_stream>;

constexpr int kMaxDoublings = 3;

/// What is remembered of an instance that was lost or refused sessions.
struct home_record {
  core::time_point avoid_until;
  int failures = 0;
};

}  // namespace

class session_forwarder::implementation
    : public home_link_listener,
      public std::enable_shared_from_this<session_forwarder::implementation> {
 public:
  implementation(asio::io_context& context,
                 const forwarder_settings& settings,
                 forwarder_host& host,
                 gateway::event_log& log)
      : context_(context), settings_(settings), host_(host), log_(log) {}

  /// @return false if the session should be served here.
  bool Place(const stream_ptr& stream);
  std::size_t Sessions() const;
  void Stop();

  void OnHomeLost(home_link& home, const char* why) override;
  void OnRefused(home_link& home, stream_ptr stream) override;
  std::uint64_t ConfigurationVersion() const override {
    return host_.ConfigurationVersion();
  }
  void OnNewerConfiguration(const std::string& host) override {
    host_.OnNewerConfiguration(host);
  }

 private:
  home_link& LinkTo(const home_candidate& chosen);
  void Avoid(const std::string& instance);
  void PlaceAgain(const stream_ptr& stream);

  asio::io_context& context_;
  forwarder_settings settings_;
  forwarder_host& host_;
  gateway::event_log& log_;
  std::map<std::string, std::unique_ptr<home_link>> homes_;
  std::map<std::string, home_record> records_;
};

bool session_forwarder::implementation::Place(const stream_ptr& stream) {
  const core::time_point now = core::clock::now();
  for (const home_candidate& each :
       home_choice::Order(stream->Group(), host_.HomeCandidates())) {
    if (each.instance == settings_.instance) {
      return false;
    }
    const auto record = records_.find(each.instance);
    if (record == records_.end() || record->second.avoid_until <= now) {
      LinkTo(each).Open(stream);
      return true;
    }
  }
  return false;
}

home_link& session_forwarder::implementation::LinkTo(
    const home_candidate& chosen) {
  std::unique_ptr<home_link>& link = homes_[chosen.instance];
  if (link == nullptr) {
    link = std::make_unique<home_link>(context_, settings_, chosen, *this);
    gateway::log_line(log_, "forwarding", "home_opened")
        .With("instance", chosen.instance)
        .With("host", chosen.host);
  }
  return *link;
}

void session_forwarder::implementation::Avoid(const std::string& instance) {
  home_record& record = records_[instance];
  const core::time_point now = core::clock::now();
  // A home that served for long after its last failure starts anew.
  if (now - record.avoid_until > settings_.avoid * (1 << kMaxDoublings)) {
    record.failures = 0;
  }
  record.avoid_until = now + settings_.avoid * (1 << record.failures);
  record.failures = std::min(record.failures + 1, kMaxDoublings);
}

void session_forwarder::implementation::OnHomeLost(home_link& home,
                                                   const char* why) {
  const std::string instance = home.Where().instance;
  Avoid(instance);
  const std::vector<stream_ptr> open = home.End();
  gateway::log_line(log_, "forwarding", "home_lost")
      .With("instance", instance)
      .With("detail", why)
      .With("sessions", static_cast<std::int64_t>(open.size()));
  const auto found = homes_.find(instance);
  if (found != homes_.end()) {
    // Freed later: the caller of this function belongs to it.
    const std::shared_ptr<home_link> held = std::move(found->second);
    homes_.erase(found);
    asio::post(context_, [held] {});
  }
  for (const stream_ptr& each : open) {
    if (each->IsFresh()) {
      PlaceAgain(each);
    } else {
      each->End();
    }
  }
}

void session_forwarder::implementation::OnRefused(home_link& home,
                                                  stream_ptr stream) {
  gateway::log_line(log_, "forwarding", "refused")
      .With("instance", home.Where().instance)
      .With("group", stream->Group());
  Avoid(home.Where().instance);
  if (stream->IsFresh()) {
    PlaceAgain(stream);
  } else {
    stream->End();
  }
}

void session_forwarder::implementation::PlaceAgain(const stream_ptr& stream) {
  if (!Place(stream)) {
    stream->ServeHere();
  }
}

std::size_t session_forwarder::implementation::Sessions() const {
  std::size_t count = 0;
  for (const auto& [instance, home] : homes_) {
    count += home->Sessions();
  }
  return count;
}

void session_forwarder::implementation::Stop() {
  for (auto& [instance, home] : homes_) {
    for (const stream_ptr& each : home->End()) {
      each->Detach();
    }
  }
  homes_.clear();
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
    const std::string& group,
    const std::string& database,
    forwarded_listener& listener) {
  auto stream = std::make_shared<forwarded_stream>(group, database, listener);
  return implementation_->Place(stream) ? stream : nullptr;
}

std::size_t session_forwarder::Sessions() const {
  return implementation_->Sessions();
}

void session_forwarder::Stop() {
  implementation_->Stop();
}

}  // namespace plantaintiller::forwarding
