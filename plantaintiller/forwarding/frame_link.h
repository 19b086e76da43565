#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/forwarding/session_frame.h"
#include "plantaintiller/gateway/stream_writer.h"

namespace plantaintiller::forwarding {

class frame_link;

/// Told what a link receives.
class frame_link_listener {
 public:
  virtual ~frame_link_listener() = default;
  virtual void OnBatch(frame_link& link, frame_batch batch) = 0;
  /// The link ended by itself; it is freed after the call.
  virtual void OnLinkLost(frame_link& link) = 0;
  /// Version to put on what is sent.
  virtual std::uint64_t ConfigurationVersion() const = 0;
};

/// A connection between two instances that carries frames of many sessions.
/// Frames of one turn of the event loop leave in one batch.
class frame_link : public std::enable_shared_from_this<frame_link> {
 public:
  /// Connects. Frames sent meanwhile are queued.
  /// @param listener must outlive the link, or its `Close`.
  static std::shared_ptr<frame_link> Connect(
      boost::asio::io_context& context,
      const boost::asio::ip::tcp::endpoint& to,
      frame_link_listener& listener);
  /// Takes over an accepted connection. Parameters as above.
  static std::shared_ptr<frame_link> FromAccepted(
      boost::asio::ip::tcp::socket socket,
      frame_link_listener& listener);

  frame_link(boost::asio::ip::tcp::socket socket,
             frame_link_listener& listener);

  void Send(session_frame frame);
  /// Asks the other end for a sign of life.
  void Ping();
  /// Ends the link without telling the listener.
  void Close();
  /// When the last bytes came; the start of the link before that.
  core::time_point LastReceived() const { return last_received_; }
  const std::string& RemoteHost() const { return remote_host_; }

 private:
  void Open();
  void ScheduleFlush();
  void Flush();
  void Read();
  void OnBytes();
  void End();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer connect_timer_;
  gateway::stream_writer writer_;
  frame_link_listener* listener_;
  std::array<char, 16384> read_buffer_{};
  std::string input_;
  frame_batch pending_batch_;
  bool flush_scheduled_ = false;
  bool open_ = false;
  std::string remote_host_;
  core::time_point last_received_;
};

}  // namespace plantaintiller::forwarding
