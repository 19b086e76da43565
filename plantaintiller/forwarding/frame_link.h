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

/// Receives the batches and the end of a frame_link.
class frame_link_listener {
 public:
  virtual ~frame_link_listener() = default;
  /// Called for each received batch.
  virtual void OnBatch(frame_link& link, frame_batch batch) = 0;
  /// Called when the link has ended other than by `Close`; it is freed after
  /// the call.
  virtual void OnLinkLost(frame_link& link) = 0;
  /// Configuration version to send with each batch.
  virtual std::uint64_t ConfigurationVersion() const = 0;
};

/// A connection between two instances that carries the frames of many sessions.
/// Frames sent during one iteration of the event loop form one batch.
class frame_link : public std::enable_shared_from_this<frame_link> {
 public:
  /// Connects to an instance. Frames sent before the connection is established
  /// are queued.
  /// @param to address of the instance.
  /// @param listener must stay valid until the link has ended.
  static std::shared_ptr<frame_link> Connect(
      boost::asio::io_context& context,
      const boost::asio::ip::tcp::endpoint& to,
      frame_link_listener& listener);
  /// Creates a link from an accepted connection.
  /// @param listener as for `Connect`.
  static std::shared_ptr<frame_link> FromAccepted(
      boost::asio::ip::tcp::socket socket,
      frame_link_listener& listener);

  /// Called by `Connect` and `FromAccepted`.
  frame_link(boost::asio::ip::tcp::socket socket,
             frame_link_listener& listener);

  /// Queues a frame for the next batch; ignored after the link has ended.
  void Send(session_frame frame);
  /// Asks the peer to send a batch at once.
  void Ping();
  /// Closes the link without calling the listener.
  void Close();
  /// Time at which bytes were last received; the start of the link if none were
  /// received yet.
  core::time_point LastReceived() const { return last_received_; }
  /// IP address of the peer.
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
