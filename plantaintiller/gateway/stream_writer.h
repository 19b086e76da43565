#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace plantaintiller::gateway {

/// Writes to a socket in order: directly while the socket's send buffer has
/// space, which avoids a pass through the reactor, otherwise asynchronously.
class stream_writer {
 public:
  /// @param socket must outlive the writer.
  explicit stream_writer(boost::asio::ip::tcp::socket& socket)
      : socket_(socket) {}

  /// Sets the callbacks. Must be called before the first `Send`.
  /// @param failed called after a write has failed, never during `Send`.
  /// @param drained called when all bytes are written.
  void SetHandlers(std::function<void()> failed, std::function<void()> drained);

  /// Queues bytes. @param owner is kept alive until they are written.
  void Send(std::string_view bytes, const std::shared_ptr<void>& owner);
  /// Number of bytes that are not written yet.
  std::size_t Pending() const { return queued_.size() + writing_.size(); }

 private:
  void Write(const std::shared_ptr<void>& owner);
  void Continue(const std::shared_ptr<void>& owner);

  boost::asio::ip::tcp::socket& socket_;
  std::function<void()> failed_;
  std::function<void()> drained_;
  std::string queued_;
  /// Bytes of the asynchronous write in progress.
  std::string writing_;
  bool broken_ = false;
};

}  // namespace plantaintiller::gateway
