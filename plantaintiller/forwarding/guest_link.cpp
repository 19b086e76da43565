#include "plantaintiller/forwarding/guest_link.h"

#include <utility>
#include <vector>

namespace plantaintiller::forwarding {

namespace {

using boost::system::error_code;

/// How long a batch waits for its configuration: one transfer between
/// instances. Statements have most of their time left then.
constexpr core::milliseconds kConfigurationPatience{400};

}  // namespace

/// One session with the channel to its caller's instance.
class guest_link::guest : public sessions::session_channel {
 public:
  guest(guest_link& around, std::uint64_t number)
      : around_(&around),
        number_(number),
        session_(around.host_.MakeGuest(*this)) {}

  void OnBytes(const std::string& bytes) {
    received_ += bytes.size();
    session_->OnBytes(bytes);
  }
  /// The caller or its instance is gone.
  void Leave() {
    around_ = nullptr;
    session_->OnCallerDisconnected();
  }
  sessions::hosted_session& Session() { return *session_; }

  void Send(const std::string& bytes) override {
    Report(frame_kind::kData, bytes);
  }
  void Finish() override {
    if (around_ != nullptr) {
      Report(frame_kind::kClosed, "");
      around_->DropGuest(number_);
    }
  }

 private:
  void Report(frame_kind kind, const std::string& bytes) {
    if (around_ == nullptr) {
      return;
    }
    session_frame frame;
    frame.session = number_;
    frame.kind = kind;
    frame.bytes = bytes;
    if (session_->IsSettled()) {
      settled_ = received_;
    }
    frame.settled = settled_;
    frame.in_transaction = session_->InTransaction();
    around_->link_->Send(std::move(frame));
  }

  guest_link* around_;
  std::uint64_t number_;
  std::shared_ptr<sessions::hosted_session> session_;
  std::uint64_t received_ = 0;
  std::uint64_t settled_ = 0;
};

guest_link::guest_link(boost::asio::ip::tcp::socket socket,
                       guest_host& host,
                       guest_link_listener& listener)
    : host_(host), listener_(listener), patience_(socket.get_executor()) {
  link_ = frame_link::Accepted(std::move(socket), *this);
}

guest_link::~guest_link() {
  *alive_ = false;
  link_->Close();
  for (const auto& [session, each] : guests_) {
    each->Leave();
  }
}

void guest_link::OnBatch(frame_link& link, frame_batch batch) {
  const bool newer = batch.configuration_version > host_.ConfigurationVersion();
  if (newer) {
    host_.OnNewerConfiguration(link.RemoteHost());
  }
  if (batch.frames.empty()) {
    return;
  }
  if (!newer && waiting_.empty()) {
    Serve(batch);
    return;
  }
  waiting_.push_back(std::move(batch));
  if (waiting_.size() == 1) {
    patience_.expires_after(kConfigurationPatience);
    patience_.async_wait([this, alive = alive_](error_code cancelled) {
      if (!cancelled && *alive) {
        ServeWaiting();
      }
    });
  }
}

void guest_link::OnConfiguration() {
  if (!waiting_.empty() &&
      waiting_.front().configuration_version <= host_.ConfigurationVersion()) {
    patience_.cancel();
    ServeWaiting();
  }
}

void guest_link::ServeWaiting() {
  std::deque<frame_batch> batches = std::exchange(waiting_, {});
  for (const frame_batch& each : batches) {
    Serve(each);
  }
}

void guest_link::Serve(const frame_batch& batch) {
  for (const session_frame& each : batch.frames) {
    OnFrame(each);
  }
}

void guest_link::OnFrame(const session_frame& frame) {
  if (frame.kind == frame_kind::kOpen) {
    OpenGuest(frame);
    return;
  }
  const auto found = guests_.find(frame.session);
  if (found == guests_.end()) {
    // It ended here while the frame was on its way.
    return;
  }
  const std::shared_ptr<guest> held = found->second;
  switch (frame.kind) {
    case frame_kind::kData:
      held->OnBytes(frame.bytes);
      return;
    case frame_kind::kAbandon:
      held->Session().AbandonTransaction("caller_instance_stops");
      return;
    default:
      DropGuest(frame.session);
      return;
  }
}

void guest_link::OpenGuest(const session_frame& frame) {
  if (!host_.TakesGuests()) {
    session_frame refused;
    refused.session = frame.session;
    refused.kind = frame_kind::kRefused;
    link_->Send(std::move(refused));
    return;
  }
  const auto opened = std::make_shared<guest>(*this, frame.session);
  guests_[frame.session] = opened;
  opened->Session().Start(frame.bytes);
}

void guest_link::DropGuest(std::uint64_t session) {
  const auto found = guests_.find(session);
  if (found != guests_.end()) {
    const std::shared_ptr<guest> held = found->second;
    guests_.erase(found);
    held->Leave();
    host_.OnGuestEnded();
  }
}

void guest_link::CloseWhenIdle() {
  // Copied: sessions that are idle end during the call.
  const std::map<std::uint64_t, std::shared_ptr<guest>> all = guests_;
  for (const auto& [session, each] : all) {
    each->Session().CloseWhenIdle();
  }
}

void guest_link::AbandonTransactions(const char* reason) {
  const std::map<std::uint64_t, std::shared_ptr<guest>> all = guests_;
  for (const auto& [session, each] : all) {
    each->Session().AbandonTransaction(reason);
  }
}

void guest_link::OnLinkLost(frame_link&) {
  listener_.OnGuestLinkLost(*this);
}

std::uint64_t guest_link::ConfigurationVersion() const {
  return host_.ConfigurationVersion();
}

}  // namespace plantaintiller::forwarding
