#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>

#include "plantaintiller/forwarding/frame_link.h"
#include "plantaintiller/forwarding/remote_session_service.h"

namespace plantaintiller::forwarding {

class remote_session_link;

/// Receives the end of a remote_session_link.
class remote_session_link_listener {
 public:
  virtual ~remote_session_link_listener() = default;
  /// Called when the connection has ended.
  virtual void OnRemoteSessionLinkLost(remote_session_link& link) = 0;
};

/// The sessions that this instance serves for callers of one other instance.
class remote_session_link : public frame_link_listener {
 public:
  /// @param socket accepted connection of the other instance.
  /// @param host, @param listener must outlive the link.
  remote_session_link(boost::asio::ip::tcp::socket socket,
                      remote_session_host& host,
                      remote_session_link_listener& listener);
  ~remote_session_link() override;

  /// Called when a newer configuration is in force; serves the batches that
  /// wait for it.
  void OnConfiguration();
  /// Closes each session as soon as no request and no transaction is open on
  /// it.
  void CloseWhenIdle();
  /// Lets no session send anything more to a server.
  /// @param reason passed to the sessions.
  void RefuseFurtherWork(const char* reason);
  /// Number of sessions that are open on the link.
  std::size_t Sessions() const { return sessions_.size(); }

  void OnBatch(frame_link& link, frame_batch batch) override;
  void OnLinkLost(frame_link& link) override;
  std::uint64_t ConfigurationVersion() const override;

 private:
  class remote_session;

  void Serve(const frame_batch& batch);
  /// @param version configuration of the instance that sent the frame.
  void OnFrame(const session_frame& frame, std::uint64_t version);
  void OpenSession(const session_frame& frame, std::uint64_t version);
  void ServeWaitingBatches();
  void RemoveSession(std::uint64_t number);

  remote_session_host& host_;
  remote_session_link_listener& listener_;
  boost::asio::steady_timer configuration_timer_;
  std::shared_ptr<frame_link> link_;
  std::map<std::uint64_t, std::shared_ptr<remote_session>> sessions_;
  /// Batches that wait for their configuration, and batches received after
  /// them.
  std::deque<frame_batch> waiting_batches_;
  /// False once the link is destroyed, so that pending handlers do not use it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace plantaintiller::forwarding
