#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "plantaintiller/forwarding/session_forwarder.h"
#include "plantaintiller/forwarding/session_frame.h"

namespace plantaintiller::forwarding {

/// Where a stream's frames go.
class frame_sink {
 public:
  virtual ~frame_sink() = default;
  virtual void SendFrame(session_frame frame) = 0;
  /// An answer is awaited from now on.
  virtual void ExpectAnswer() = 0;
  /// The stream needs its sink no more.
  virtual void Remove(std::uint64_t session) = 0;
};

/// A forwarded session as the caller's instance keeps it. It knows which of the
/// caller's bytes were answered, so that a lost home costs no more than it
/// must.
class forwarded_stream final : public forwarded_session {
 public:
  forwarded_stream(std::string group,
                   std::string database,
                   forwarded_listener& listener);

  void Send(std::string_view bytes) override;
  void Close() override;
  void AbandonTransaction() override;
  const std::string& Unanswered() const override { return unanswered_; }
  bool InTransaction() const override { return in_transaction_; }

  const std::string& Group() const { return group_; }
  /// Whether an answer of the home is awaited.
  bool IsAwaitingAnswer() const {
    return !frame_received_ || !unanswered_.empty();
  }
  /// Whether another home can start over: nothing came from this one, and the
  /// caller has said nothing yet.
  bool CanReassign() const { return !frame_received_ && sent_bytes_ == 0; }
  /// Opens the session at a home.
  void OpenAt(frame_sink& sink, std::uint64_t session);
  /// Data, or the end, from the home.
  void OnFrame(const session_frame& frame);
  /// Ends the session for its caller.
  void End();
  /// Forgets the home without a word to it.
  void Detach() { sink_ = nullptr; }
  /// Has the caller's instance serve it.
  void ServeLocally();

 private:
  void SendFrame(frame_kind kind, std::string bytes);
  forwarded_listener* Release();

  std::string group_;
  std::string database_;
  /// Null once the caller has left or the session has ended.
  forwarded_listener* listener_;
  frame_sink* sink_ = nullptr;
  std::uint64_t session_ = 0;
  /// Bytes of the caller so far.
  std::uint64_t sent_bytes_ = 0;
  std::string unanswered_;
  bool frame_received_ = false;
  bool in_transaction_ = false;
};

}  // namespace plantaintiller::forwarding
