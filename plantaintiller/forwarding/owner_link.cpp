#include "plantaintiller/forwarding/owner_link.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <utility>

namespace plantaintiller::forwarding {

namespace asio = boost::asio;
using boost::system::error_code;

owner_link::owner_link(asio::io_context& context,
                       const forwarder_settings& settings,
                       owner_candidate owner,
                       owner_link_listener& listener)
    : settings_(settings),
      owner_(std::move(owner)),
      listener_(listener),
      silence_timer_(context) {
  link_ = frame_link::Connect(
      context, {asio::ip::make_address(owner_.host), settings_.port}, *this);
}

owner_link::~owner_link() {
  *alive_ = false;
  link_->Close();
}

void owner_link::Open(std::shared_ptr<forwarded_stream> stream) {
  const std::uint64_t session = next_session_++;
  forwarded_stream& opened = *stream;
  streams_.emplace(session, std::move(stream));
  opened.OpenAt(*this, session);
}

std::vector<std::shared_ptr<forwarded_stream>> owner_link::End() {
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

void owner_link::SendFrame(session_frame frame) {
  link_->Send(std::move(frame));
}

bool owner_link::IsAwaitingAnswer() const {
  return std::any_of(streams_.begin(), streams_.end(), [](const auto& each) {
    return each.second->IsAwaitingAnswer();
  });
}

void owner_link::ExpectAnswer() {
  if (!silence_timer_armed_) {
    silence_timer_armed_ = true;
    waiting_since_ = core::clock::now();
    ArmSilenceTimer(waiting_since_ + settings_.ping_after);
  }
}

void owner_link::ArmSilenceTimer(core::time_point when) {
  silence_timer_.expires_at(when);
  silence_timer_.async_wait([this, alive = alive_](error_code cancelled) {
    if (!cancelled && *alive) {
      OnSilenceTimer();
    }
  });
}

void owner_link::OnSilenceTimer() {
  const core::time_point now = core::clock::now();
  if (!IsAwaitingAnswer()) {
    silence_timer_armed_ = false;
    ping_sent_at_ = {};
    return;
  }
  const core::time_point silent_since =
      std::max(link_->LastReceived(), waiting_since_);
  if (silent_since > ping_sent_at_ &&
      now - silent_since < settings_.ping_after) {
    ArmSilenceTimer(silent_since + settings_.ping_after);
    return;
  }
  if (ping_sent_at_ <= link_->LastReceived()) {
    ping_sent_at_ = now;
    link_->Ping();
  }
  if (now - ping_sent_at_ >= settings_.ping_timeout) {
    listener_.OnOwnerLost(*this, owner_loss::kSilent);
    return;
  }
  ArmSilenceTimer(ping_sent_at_ + settings_.ping_timeout);
}

void owner_link::OnBatch(frame_link& link, frame_batch batch) {
  if (batch.configuration_version > listener_.ConfigurationVersion()) {
    listener_.OnNewerConfiguration(link.RemoteHost());
  }
  for (const session_frame& each : batch.frames) {
    const auto found = streams_.find(each.session);
    if (found == streams_.end()) {
      // The caller has disconnected in the meantime.
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

void owner_link::OnLinkLost(frame_link&) {
  listener_.OnOwnerLost(*this, owner_loss::kClosed);
}

std::uint64_t owner_link::ConfigurationVersion() const {
  return listener_.ConfigurationVersion();
}

}  // namespace plantaintiller::forwarding
