#include "plantaintiller/forwarding/forwarded_stream.h"

#include <utility>

namespace plantaintiller::forwarding {

forwarded_stream::forwarded_stream(session_opening opening,
                                   forwarded_listener& listener)
    : opening_(std::move(opening)), listener_(&listener) {}

void forwarded_stream::OpenAt(frame_sink& sink, std::uint64_t session) {
  sink_ = &sink;
  session_ = session;
  session_frame frame = MakeFrame(frame_kind::kOpen, opening_.database);
  frame.identity = opening_.identity;
  sink_->SendFrame(std::move(frame));
  sink_->ExpectAnswer();
}

session_frame forwarded_stream::MakeFrame(frame_kind kind,
                                          std::string bytes) const {
  session_frame frame;
  frame.session = session_;
  frame.kind = kind;
  frame.bytes = std::move(bytes);
  return frame;
}

void forwarded_stream::SendFrame(frame_kind kind, std::string bytes) {
  if (sink_ != nullptr) {
    sink_->SendFrame(MakeFrame(kind, std::move(bytes)));
  }
}

void forwarded_stream::Send(std::string_view bytes) {
  if (listener_ == nullptr || sink_ == nullptr) {
    return;
  }
  sent_bytes_ += bytes.size();
  unanswered_ += bytes;
  SendFrame(frame_kind::kData, std::string(bytes));
  sink_->ExpectAnswer();
}

void forwarded_stream::Close() {
  SendFrame(frame_kind::kCallerDisconnected, "");
  Release();
}

void forwarded_stream::RefuseFurtherWork() {
  SendFrame(frame_kind::kRefuseFurtherWork, "");
}

void forwarded_stream::OnFrame(const session_frame& frame) {
  frame_received_ = true;
  in_transaction_ = frame.in_transaction;
  const std::uint64_t answered_before = sent_bytes_ - unanswered_.size();
  if (frame.answered_bytes > answered_before) {
    unanswered_.erase(0, frame.answered_bytes - answered_before);
  }
  if (frame.kind == frame_kind::kClosed) {
    End(frame.bytes.empty() ? session_end::kExpected
                            : session_end::kUnexpected);
    return;
  }
  if (!frame.bytes.empty() && listener_ != nullptr) {
    listener_->OnForwardedBytes(frame.bytes);
  }
}

forwarded_listener* forwarded_stream::Release() {
  if (frame_sink* sink = std::exchange(sink_, nullptr)) {
    sink->Remove(session_);
  }
  return std::exchange(listener_, nullptr);
}

void forwarded_stream::End(session_end end) {
  if (forwarded_listener* listener = Release()) {
    listener->OnForwardedSessionEnded(end);
  }
}

void forwarded_stream::ServeLocally() {
  if (forwarded_listener* listener = Release()) {
    listener->OnServeLocally();
  }
}

}  // namespace plantaintiller::forwarding
