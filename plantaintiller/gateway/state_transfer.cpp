#include "plantaintiller/gateway/state_transfer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "plantaintiller/core/time.h"
#include "plantaintiller/gateway/state_codec.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Time-out of a state transfer, without the time for its bytes.
constexpr core::milliseconds kTransferTimeout{900};
/// Lowest rate of a transfer, in bytes per millisecond. A relay may serve its
/// whole zone at once over 10 Mbit/s; a transfer that is cut off is repeated
/// and costs the same again.
constexpr std::size_t kMinRate = 100;

}  // namespace

void state_transfer::Arm(std::size_t bytes) {
  timer_.expires_after(kTransferTimeout + core::milliseconds(bytes / kMinRate));
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled) {
      error_code ignored;
      self->socket_.close(ignored);
    }
  });
}

void state_transfer::Write(std::string bytes, std::function<void()> written) {
  out_ = std::move(bytes);
  asio::async_write(socket_, asio::buffer(out_),
                    [self = shared_from_this(), written = std::move(written)](
                        error_code failed, std::size_t) {
                      if (!failed) {
                        written();
                      } else {
                        self->timer_.cancel();
                      }
                    });
}

void state_transfer::Read(body_callback received, std::function<void()> lost) {
  asio::async_read(socket_, asio::buffer(&size_, sizeof(size_)),
                   [self = shared_from_this(), received = std::move(received),
                    lost = std::move(lost)](error_code failed, std::size_t) {
                     if (failed || self->size_ > kMaxStateBytes) {
                       self->timer_.cancel();
                       lost();
                       return;
                     }
                     self->ReadBody(received, lost);
                   });
}

void state_transfer::ReadBody(body_callback received,
                              std::function<void()> lost) {
  in_.resize(size_);
  Arm(size_);
  asio::async_read(socket_, asio::buffer(in_),
                   [self = shared_from_this(), received = std::move(received),
                    lost = std::move(lost)](error_code failed, std::size_t) {
                     self->timer_.cancel();
                     if (failed) {
                       lost();
                     } else {
                       received(self->in_);
                     }
                   });
}

}  // namespace plantaintiller::gateway
