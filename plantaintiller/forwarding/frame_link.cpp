#include "plantaintiller/forwarding/frame_link.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "plantaintiller/forwarding/frame_codec.h"
#include "plantaintiller/gateway/socket_options.h"

namespace plantaintiller::forwarding {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

/// Covers several round trips within an availability zone and the delay of a
/// slow machine. A lost SYN packet is retransmitted only after a second, and
/// trying the next candidate in the zone is faster.
constexpr core::milliseconds kConnectTimeout{300};
/// Limit of the bytes queued for a peer that does not read them; the link ends
/// when it is exceeded.
constexpr std::size_t kMaxUnsentBytes = kMaxBatchBytes;

}  // namespace

frame_link::frame_link(tcp::socket socket, frame_link_listener& listener)
    : socket_(std::move(socket)),
      connect_timer_(socket_.get_executor()),
      writer_(socket_),
      listener_(&listener),
      last_received_(core::clock::now()) {
  writer_.SetHandlers([this] { End(); }, [] {});
}

std::shared_ptr<frame_link> frame_link::Connect(asio::io_context& context,
                                                const tcp::endpoint& to,
                                                frame_link_listener& listener) {
  auto link = std::make_shared<frame_link>(tcp::socket(context), listener);
  link->remote_host_ = to.address().to_string();
  link->connect_timer_.expires_after(kConnectTimeout);
  link->connect_timer_.async_wait([link](error_code cancelled) {
    if (!cancelled && !link->open_) {
      link->End();
    }
  });
  link->socket_.async_connect(to, [link](error_code failed) {
    if (failed) {
      link->End();
      return;
    }
    if (link->listener_ != nullptr) {
      link->connect_timer_.cancel();
      link->Open();
    }
  });
  return link;
}

std::shared_ptr<frame_link> frame_link::FromAccepted(
    tcp::socket socket,
    frame_link_listener& listener) {
  auto link = std::make_shared<frame_link>(std::move(socket), listener);
  error_code error;
  const auto from = link->socket_.remote_endpoint(error);
  if (!error) {
    link->remote_host_ = from.address().to_string();
  }
  link->Open();
  return link;
}

void frame_link::Open() {
  open_ = true;
  last_received_ = core::clock::now();
  gateway::SetLatencyOptions(socket_);
  Read();
  if (!pending_batch_.frames.empty() || pending_batch_.ping) {
    Flush();
  }
}

void frame_link::Send(session_frame frame) {
  if (listener_ == nullptr) {
    return;
  }
  pending_batch_.frames.push_back(std::move(frame));
  ScheduleFlush();
}

void frame_link::Ping() {
  pending_batch_.ping = true;
  ScheduleFlush();
}

void frame_link::ScheduleFlush() {
  if (flush_scheduled_ || !open_ || listener_ == nullptr) {
    return;
  }
  flush_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->flush_scheduled_ = false;
    self->Flush();
  });
}

void frame_link::Flush() {
  if (listener_ == nullptr) {
    return;
  }
  pending_batch_.configuration_version = listener_->ConfigurationVersion();
  std::string out;
  AppendBatch(out, pending_batch_);
  pending_batch_ = {};
  writer_.Send(out, shared_from_this());
  if (writer_.Pending() > kMaxUnsentBytes) {
    End();
  }
}

void frame_link::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](error_code failed, std::size_t size) {
        if (self->listener_ == nullptr) {
          return;
        }
        if (failed) {
          self->End();
          return;
        }
        self->last_received_ = core::clock::now();
        self->input_.append(self->read_buffer_.data(), size);
        self->OnBytes();
        if (self->listener_ != nullptr) {
          self->Read();
        }
      });
}

void frame_link::OnBytes() {
  frame_batch batch;
  while (listener_ != nullptr) {
    const batch_state state = ExtractBatch(input_, batch);
    if (state == batch_state::kIncomplete) {
      return;
    }
    if (state == batch_state::kMalformed) {
      End();
      return;
    }
    if (batch.ping) {
      // An empty batch answers the ping.
      ScheduleFlush();
    }
    listener_->OnBatch(*this, std::move(batch));
  }
}

void frame_link::Close() {
  listener_ = nullptr;
  open_ = false;
  connect_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void frame_link::End() {
  const auto self = shared_from_this();
  frame_link_listener* listener = listener_;
  Close();
  if (listener != nullptr) {
    listener->OnLinkLost(*this);
  }
}

}  // namespace plantaintiller::forwarding
