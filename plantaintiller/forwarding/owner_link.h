#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "plantaintiller/forwarding/forwarded_stream.h"
#include "plantaintiller/forwarding/frame_link.h"
#include "plantaintiller/forwarding/owner_selection.h"

namespace plantaintiller::forwarding {

class owner_link;

/// Told of a home's end, and what it does not take.
class owner_link_listener {
 public:
  virtual ~owner_link_listener() = default;
  /// The home is lost. @param why for the log.
  virtual void OnOwnerLost(owner_link& home, const char* why) = 0;
  /// The home takes no sessions for now.
  virtual void OnRefused(owner_link& home,
                         std::shared_ptr<forwarded_stream> stream) = 0;
  virtual std::uint64_t ConfigurationVersion() const = 0;
  virtual void OnNewerConfiguration(const std::string& host) = 0;
};

/// The link to one home with the sessions that it serves for this instance.
/// It ends when the home gives no sign of life while an answer is awaited.
class owner_link : public frame_link_listener, public frame_sink {
 public:
  /// References must outlive the link. @param where its host must be an
  /// address.
  owner_link(boost::asio::io_context& context,
             const forwarder_settings& settings,
             owner_candidate where,
             owner_link_listener& listener);
  ~owner_link() override;

  const owner_candidate& Owner() const { return owner_; }
  void Open(std::shared_ptr<forwarded_stream> stream);
  std::size_t Sessions() const { return streams_.size(); }
  /// Ends the link. @return the sessions that were open.
  std::vector<std::shared_ptr<forwarded_stream>> End();

  void SendFrame(session_frame frame) override;
  void ExpectAnswer() override;
  void Remove(std::uint64_t session) override { streams_.erase(session); }

  void OnBatch(frame_link& link, frame_batch batch) override;
  void OnLinkLost(frame_link& link) override;
  std::uint64_t ConfigurationVersion() const override;

 private:
  void ArmSilenceTimer(core::time_point when);
  void OnSilenceTimer();
  bool IsAwaitingAnswer() const;

  const forwarder_settings& settings_;
  owner_candidate owner_;
  owner_link_listener& listener_;
  std::shared_ptr<frame_link> link_;
  boost::asio::steady_timer silence_timer_;
  bool silence_timer_armed_ = false;
  /// When an answer was first awaited since the last watch.
  core::time_point waiting_since_;
  /// When a sign of life was asked for; the epoch if none is awaited.
  core::time_point ping_sent_at_;
  std::map<std::uint64_t, std::shared_ptr<forwarded_stream>> streams_;
  std::uint64_t next_session_ = 1;
  /// Tells handlers that are due after the end.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace plantaintiller::forwarding
