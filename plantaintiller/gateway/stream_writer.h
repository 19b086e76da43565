#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace plantaintiller::gateway {

/// Writes to a socket in order: at once where its buffer has room, which spares
/// the reactor, else as room comes.
class stream_writer {
 public:
  /// @param socket must outlive the writer.
  explicit stream_writer(boost::asio::ip::tcp::socket& socket)
      : socket_(socket) {}

  /// What is told of the end of writing. Set before the first `Send`.
  /// @param failed a write failed; called later, never during `Send`.
  /// @param drained all bytes are written.
  void SetHandlers(std::function<void()> failed, std::function<void()> drained);

  /// Queues bytes. @param owner is kept until they are written.
  void Send(std::string_view bytes, const std::shared_ptr<void>& owner);
  /// Bytes that are not written yet.
  std::size_t Pending() const { return queued_.size() + writing_.size(); }

 private:
  void Write(const std::shared_ptr<void>& owner);
  void Continue(const std::shared_ptr<void>& owner);

  boost::asio::ip::tcp::socket& socket_;
  std::function<void()> failed_;
  std::function<void()> drained_;
  std::string queued_;
  /// In the hands of the reactor.
  std::string writing_;
  bool broken_ = false;
};

}  // namespace plantaintiller::gateway
