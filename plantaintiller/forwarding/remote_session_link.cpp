#include "plantaintiller/forwarding/remote_session_link.h"

#include <utility>
#include <vector>

namespace plantaintiller::forwarding {

namespace {

using boost::system::error_code;

/// Longest wait of a batch for its configuration: covers one transfer between
/// instances and leaves the statements most of their time-out.
constexpr core::milliseconds kConfigurationWaitLimit{400};

}  // namespace

/// A session and the channel through which its answers reach the caller's
/// instance.
class remote_session_link::remote_session : public sessions::session_channel {
 public:
  remote_session(remote_session_link& parent, std::uint64_t number)
      : parent_(&parent),
        number_(number),
        session_(parent.host_.MakeRemoteSession(*this)) {}

  void OnBytes(const std::string& bytes) {
    received_bytes_ += bytes.size();
    session_->OnBytes(bytes);
  }
  /// Ends the session because the caller or its instance has disconnected, or
  /// because the session has finished.
  void Detach() {
    parent_ = nullptr;
    session_->OnCallerDisconnected();
  }
  sessions::hosted_session& Session() { return *session_; }

  void Send(const std::string& bytes) override {
    SendFrame(frame_kind::kData, bytes);
  }
  void Finish() override { End(""); }
  void EndIdle(sessions::session_ending ending) override {
    End(ending.Notice());
  }

 private:
  /// @param notice tells the caller of an end that it does not expect; empty
  /// if it does.
  void End(const std::string& notice) {
    if (parent_ != nullptr) {
      SendFrame(frame_kind::kClosed, notice);
      parent_->RemoveSession(number_);
    }
  }
  void SendFrame(frame_kind kind, const std::string& bytes) {
    if (parent_ == nullptr) {
      return;
    }
    session_frame frame;
    frame.session = number_;
    frame.kind = kind;
    frame.bytes = bytes;
    if (session_->IsFullyAnswered()) {
      answered_bytes_ = received_bytes_;
    }
    frame.answered_bytes = answered_bytes_;
    frame.in_transaction = session_->InTransaction();
    parent_->link_->Send(std::move(frame));
  }

  remote_session_link* parent_;
  std::uint64_t number_;
  std::shared_ptr<sessions::hosted_session> session_;
  std::uint64_t received_bytes_ = 0;
  std::uint64_t answered_bytes_ = 0;
};

remote_session_link::remote_session_link(boost::asio::ip::tcp::socket socket,
                                         remote_session_host& host,
                                         remote_session_link_listener& listener)
    : host_(host),
      listener_(listener),
      configuration_timer_(socket.get_executor()) {
  link_ = frame_link::FromAccepted(std::move(socket), *this);
}

remote_session_link::~remote_session_link() {
  *alive_ = false;
  link_->Close();
  for (const auto& [number, session] : sessions_) {
    session->Detach();
  }
}

void remote_session_link::OnBatch(frame_link& link, frame_batch batch) {
  const bool newer = batch.configuration_version > host_.ConfigurationVersion();
  if (newer) {
    host_.OnNewerConfiguration(link.RemoteHost());
  }
  if (batch.frames.empty()) {
    return;
  }
  if (!newer && waiting_batches_.empty()) {
    Serve(batch);
    return;
  }
  waiting_batches_.push_back(std::move(batch));
  if (waiting_batches_.size() == 1) {
    configuration_timer_.expires_after(kConfigurationWaitLimit);
    configuration_timer_.async_wait(
        [this, alive = alive_](error_code cancelled) {
          if (!cancelled && *alive) {
            ServeWaitingBatches();
          }
        });
  }
}

void remote_session_link::OnConfiguration() {
  if (!waiting_batches_.empty() &&
      waiting_batches_.front().configuration_version <=
          host_.ConfigurationVersion()) {
    configuration_timer_.cancel();
    ServeWaitingBatches();
  }
}

void remote_session_link::ServeWaitingBatches() {
  std::deque<frame_batch> batches = std::exchange(waiting_batches_, {});
  for (const frame_batch& each : batches) {
    Serve(each);
  }
}

void remote_session_link::Serve(const frame_batch& batch) {
  for (const session_frame& each : batch.frames) {
    OnFrame(each, batch.configuration_version);
  }
}

void remote_session_link::OnFrame(const session_frame& frame,
                                  std::uint64_t version) {
  if (frame.kind == frame_kind::kOpen) {
    OpenSession(frame, version);
    return;
  }
  const auto found = sessions_.find(frame.session);
  if (found == sessions_.end()) {
    // The session has ended while the frame was in transit.
    return;
  }
  const std::shared_ptr<remote_session> session = found->second;
  switch (frame.kind) {
    case frame_kind::kData:
      session->OnBytes(frame.bytes);
      return;
    case frame_kind::kRefuseFurtherWork:
      session->Session().RefuseFurtherWork("caller_instance_stops");
      return;
    default:
      RemoveSession(frame.session);
      return;
  }
}

void remote_session_link::OpenSession(const session_frame& frame,
                                      std::uint64_t version) {
  // Under an older configuration than the caller's instance has, this instance
  // may not know the caller's key yet.
  const bool cannot_judge = frame.identity != accounts::caller_identity{} &&
                            version > host_.ConfigurationVersion();
  if (cannot_judge || !host_.AcceptsRemoteSessions()) {
    session_frame refused;
    refused.session = frame.session;
    refused.kind = frame_kind::kRefused;
    link_->Send(std::move(refused));
    return;
  }
  const auto opened = std::make_shared<remote_session>(*this, frame.session);
  sessions_[frame.session] = opened;
  opened->Session().Start(frame.bytes, frame.identity);
}

void remote_session_link::RemoveSession(std::uint64_t number) {
  const auto found = sessions_.find(number);
  if (found != sessions_.end()) {
    const std::shared_ptr<remote_session> session = found->second;
    sessions_.erase(found);
    session->Detach();
    host_.OnRemoteSessionEnded();
  }
}

void remote_session_link::CloseWhenIdle() {
  // Copied because idle sessions remove themselves from the map during the
  // loop.
  const std::map<std::uint64_t, std::shared_ptr<remote_session>> all =
      sessions_;
  for (const auto& [number, session] : all) {
    session->Session().CloseWhenIdle();
  }
}

void remote_session_link::RefuseFurtherWork(const char* reason) {
  const std::map<std::uint64_t, std::shared_ptr<remote_session>> all =
      sessions_;
  for (const auto& [number, session] : all) {
    session->Session().RefuseFurtherWork(reason);
  }
}

void remote_session_link::OnLinkLost(frame_link&) {
  listener_.OnRemoteSessionLinkLost(*this);
}

std::uint64_t remote_session_link::ConfigurationVersion() const {
  return host_.ConfigurationVersion();
}

}  // namespace plantaintiller::forwarding
