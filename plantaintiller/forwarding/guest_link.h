#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>

#include "plantaintiller/forwarding/frame_link.h"
#include "plantaintiller/forwarding/guest_service.h"

namespace plantaintiller::forwarding {

class guest_link;

/// Told of the end of a guest link.
class guest_link_listener {
 public:
  virtual ~guest_link_listener() = default;
  virtual void OnGuestLinkLost(guest_link& link) = 0;
};

/// The sessions that this instance serves for the callers of one other.
class guest_link : public frame_link_listener {
 public:
  /// References must outlive the link.
  guest_link(boost::asio::ip::tcp::socket socket,
             guest_host& host,
             guest_link_listener& listener);
  ~guest_link() override;

  /// A newer configuration is in force.
  void OnConfiguration();
  void CloseWhenIdle();
  void AbandonTransactions(const char* reason);
  std::size_t Sessions() const { return guests_.size(); }

  void OnBatch(frame_link& link, frame_batch batch) override;
  void OnLinkLost(frame_link& link) override;
  std::uint64_t ConfigurationVersion() const override;

 private:
  class guest;

  void Serve(const frame_batch& batch);
  void OnFrame(const session_frame& frame);
  void OpenGuest(const session_frame& frame);
  void ServeWaiting();
  void DropGuest(std::uint64_t session);

  guest_host& host_;
  guest_link_listener& listener_;
  boost::asio::steady_timer patience_;
  std::shared_ptr<frame_link> link_;
  std::map<std::uint64_t, std::shared_ptr<guest>> guests_;
  /// Batches that wait for their configuration, and those behind them.
  std::deque<frame_batch> waiting_;
  /// Tells handlers that are due after the end.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace plantaintiller::forwarding
