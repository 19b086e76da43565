#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "plantaintiller/forwarding/session_forwarder.h"
#include "plantaintiller/forwarding/session_frame.h"

namespace plantaintiller::forwarding {

/// Sends the frames of forwarded streams to an owner.
class frame_sink {
 public:
  virtual ~frame_sink() = default;
  /// Queues a frame for the owner.
  virtual void SendFrame(session_frame frame) = 0;
  /// Called when a stream starts to wait for an answer, so that an unresponsive
  /// owner is detected.
  virtual void ExpectAnswer() = 0;
  /// Removes a stream that does not use the sink any more.
  virtual void Remove(std::uint64_t session) = 0;
};

/// The caller's side of a forwarded session. Tracks which of the caller's bytes
/// have been answered, so that the loss of the owner affects only the
/// unanswered ones.
class forwarded_stream final : public forwarded_session {
 public:
  forwarded_stream(session_opening opening, forwarded_listener& listener);

  void Send(std::string_view bytes) override;
  void Close() override;
  void RefuseFurtherWork() override;
  const std::string& Unanswered() const override { return unanswered_; }
  bool InTransaction() const override { return in_transaction_; }

  const std::string& Group() const { return opening_.group; }
  /// Whether the owner's first frame, or an answer to the caller's bytes, is
  /// awaited.
  bool IsAwaitingAnswer() const {
    return !frame_received_ || !unanswered_.empty();
  }
  /// Whether the session can be opened again at another owner: nothing has been
  /// received from this owner, and no bytes of the caller have been sent.
  bool CanReassign() const { return !frame_received_ && sent_bytes_ == 0; }
  /// Opens the session at an owner.
  /// @param sink sends the frames; must outlive its use by the stream.
  /// @param session number of the session, unique for the sink.
  void OpenAt(frame_sink& sink, std::uint64_t session);
  /// Handles a frame from the owner: answers, or the end of the session.
  void OnFrame(const session_frame& frame);
  /// Ends the session and calls the listener.
  void End(session_end end);
  /// Stops the use of the sink without sending a frame or calling the listener.
  void Detach() { sink_ = nullptr; }
  /// Ends the forwarding so that the caller's instance serves the session.
  void ServeLocally();

 private:
  session_frame MakeFrame(frame_kind kind, std::string bytes) const;
  void SendFrame(frame_kind kind, std::string bytes);
  /// Removes the stream from its sink and clears the listener.
  /// @return the listener until now; null if it was cleared before.
  forwarded_listener* Release();

  session_opening opening_;
  /// Null once the caller has disconnected or the session has ended.
  forwarded_listener* listener_;
  frame_sink* sink_ = nullptr;
  std::uint64_t session_ = 0;
  /// Number of the caller's bytes sent so far.
  std::uint64_t sent_bytes_ = 0;
  std::string unanswered_;
  bool frame_received_ = false;
  bool in_transaction_ = false;
};

}  // namespace plantaintiller::forwarding
