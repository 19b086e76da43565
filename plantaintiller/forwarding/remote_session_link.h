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

/// Told of the end of a guest link.
class remote_session_link_listener {
 public:
  virtual ~remote_session_link_listener() = default;
  virtual void OnRemoteSessionLinkLost(remote_session_link& link) = 0;
};

/// The sessions that this instance serves for the callers of one other.
class remote_session_link : public frame_link_listener {
 public:
  /// References must outlive the link.
  remote_session_link(boost::asio::ip::tcp::socket socket,
                      remote_session_host& host,
                      remote_session_link_listener& listener);
  ~remote_session_link() override;

  /// A newer configuration is in force.
  void OnConfiguration();
  void CloseWhenIdle();
  void AbandonTransactions(const char* reason);
  std::size_t Sessions() const { return sessions_.size(); }

  void OnBatch(frame_link& link, frame_batch batch) override;
  void OnLinkLost(frame_link& link) override;
  std::uint64_t ConfigurationVersion() const override;

 private:
  class remote_session;

  void Serve(const frame_batch& batch);
  void OnFrame(const session_frame& frame);
  void OpenSession(const session_frame& frame);
  void ServeWaitingBatches();
  void RemoveSession(std::uint64_t session);

  remote_session_host& host_;
  remote_session_link_listener& listener_;
  boost::asio::steady_timer configuration_timer_;
  std::shared_ptr<frame_link> link_;
  std::map<std::uint64_t, std::shared_ptr<remote_session>> sessions_;
  /// Batches that wait for their configuration, and those behind them.
  std::deque<frame_batch> waiting_batches_;
  /// Tells handlers that are due after the end.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace plantaintiller::forwarding
