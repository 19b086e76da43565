#include "plantaintiller/forwarding/home_link.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace plantaintiller::forwarding {

namespace asio = boost::asio;
using boost::system::error_code;

home_link::home_link(asio::io_context& context,
                     const forwarder_settings& settings,
                     home_candidate where,
                     home_link_listener& listener)
    : settings_(settings),
      where_(std::move(where)),
      listener_(listener),
      watch_(context) {
  link_ = frame_link::Connect(
      context, {asio::ip::make_address(where_.host), settings_.port}, *this);
}

home_link::~home_link() {
  *alive_ = false;
  link_->Close();
}

void home_link::Open(std::shared_ptr<forwarded_stream> stream) {
  const std::uint64_t session = next_++;
  forwarded_stream& opened = *stream;
  streams_.emplace(session, std::move(stream));
  opened.OpenAt(*this, session);
}

std::vector<std::shared_ptr<forwarded_stream>> home_link::End() {
  *alive_ = false;
  link_->Close();
  std::vector<std::shared_ptr<forwarded_stream>> open;
  open.reserve(streams_.size());
  for (auto& [session, stream] : streams_) {
    open.push_back(std::move(stream));
  }
  streams_.clear();
  return open;
}

void home_link::SendFrame(session_frame frame) {
  link_->Send(std::move(frame));
}

bool home_link::IsWaiting() const {
  return std::any_of(streams_.begin(), streams_.end(),
                     [](const auto& each) { return each.second->IsWaiting(); });
}

void home_link::Watch() {
  if (!watching_) {
    watching_ = true;
    waiting_since_ = core::clock::now();
    Arm(waiting_since_ + settings_.ping_after);
  }
}

void home_link::Arm(core::time_point when) {
  watch_.expires_at(when);
  watch_.async_wait([this, alive = alive_](error_code cancelled) {
    if (!cancelled && *alive) {
      OnWatch();
    }
  });
}

void home_link::OnWatch() {
  const core::time_point now = core::clock::now();
  if (!IsWaiting()) {
    watching_ = false;
    pinged_ = {};
    return;
  }
  const core::time_point alive = std::max(link_->LastHeard(), waiting_since_);
  if (alive > pinged_ && now - alive < settings_.ping_after) {
    Arm(alive + settings_.ping_after);
    return;
  }
  if (pinged_ <= link_->LastHeard()) {
    pinged_ = now;
    link_->Ping();
  }
  if (now - pinged_ >= settings_.answer_limit) {
    listener_.OnHomeLost(*this, "silent");
    return;
  }
  Arm(pinged_ + settings_.answer_limit);
}

void home_link::OnBatch(frame_link& link, frame_batch batch) {
  if (batch.configuration_version > listener_.ConfigurationVersion()) {
    listener_.OnNewerConfiguration(link.RemoteHost());
  }
  for (const session_frame& each : batch.frames) {
    const auto found = streams_.find(each.session);
    if (found == streams_.end()) {
      // The caller left meanwhile.
      continue;
    }
    const std::shared_ptr<forwarded_stream> stream = found->second;
    if (each.kind == frame_kind::kRefused) {
      streams_.erase(found);
      listener_.OnRefused(*this, stream);
    } else {
      stream->OnFrame(each);
    }
  }
}

void home_link::OnLinkLost(frame_link&) {
  listener_.OnHomeLost(*this, "lost");
}

std::uint64_t home_link::ConfigurationVersion() const {
  return listener_.ConfigurationVersion();
}

}  // namespace plantaintiller::forwarding
