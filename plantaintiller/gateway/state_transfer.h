#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace plantaintiller::gateway {

/// The connection of one state transfer over TCP, on either side. It is closed
/// when it has taken too long.
class state_transfer : public std::enable_shared_from_this<state_transfer> {
 public:
  using body_callback = std::function<void(const std::string& body)>;

  explicit state_transfer(boost::asio::ip::tcp::socket socket)
      : socket_(std::move(socket)), timer_(socket_.get_executor()) {}

  boost::asio::ip::tcp::socket& Socket() { return socket_; }
  /// Starts the time-out anew.
  /// @param bytes size of the message that is awaited or sent; adds to the
  /// time.
  void Arm(std::size_t bytes = 0);
  /// Writes a message with its length prefix. @param written called on success.
  void Write(std::string bytes, std::function<void()> written);
  /// Reads a message. @param received receives it without its prefix; @param
  /// lost called if it does not arrive.
  void Read(body_callback received, std::function<void()> lost);
  /// Cancels the time-out, because the transfer is complete.
  void Finish() { timer_.cancel(); }

 private:
  void ReadBody(body_callback received, std::function<void()> lost);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::uint32_t size_ = 0;
  std::string in_;
  std::string out_;
};

}  // namespace plantaintiller::gateway
