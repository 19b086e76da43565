#include "plantaintiller/gateway/stream_writer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace plantaintiller::gateway {

namespace asio = boost::asio;
using boost::system::error_code;

void stream_writer::SetHandlers(std::function<void()> failed,
                                std::function<void()> drained) {
  failed_ = std::move(failed);
  drained_ = std::move(drained);
}

void stream_writer::Send(std::string_view bytes,
                         const std::shared_ptr<void>& owner) {
  if (broken_) {
    return;
  }
  queued_ += bytes;
  Write(owner);
}

void stream_writer::Write(const std::shared_ptr<void>& owner) {
  if (broken_ || !writing_.empty() || queued_.empty()) {
    return;
  }
  error_code error;
  if (!socket_.non_blocking()) {
    socket_.non_blocking(true, error);
  }
  const std::size_t sent = socket_.write_some(asio::buffer(queued_), error);
  if (!error) {
    queued_.erase(0, sent);
  } else if (error != asio::error::would_block) {
    broken_ = true;
    queued_.clear();
    asio::post(socket_.get_executor(), [this, owner] { failed_(); });
    return;
  }
  if (queued_.empty()) {
    drained_();
    return;
  }
  Continue(owner);
}

void stream_writer::Continue(const std::shared_ptr<void>& owner) {
  writing_.swap(queued_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [this, owner](error_code failed, std::size_t) {
                      writing_.clear();
                      if (failed) {
                        broken_ = true;
                        queued_.clear();
                        failed_();
                        return;
                      }
                      if (queued_.empty()) {
                        drained_();
                      } else {
                        Write(owner);
                      }
                    });
}

}  // namespace plantaintiller::gateway
