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

/// How the owner was lost.
enum class owner_loss : std::uint8_t {
  /// The connection was refused or closed.
  kClosed,
  /// No answer arrived in time.
  kSilent,
};

/// Receives the loss of a session owner and the sessions that it refuses.
class owner_link_listener {
 public:
  virtual ~owner_link_listener() = default;
  /// Called when the connection has ended or the owner does not answer.
  /// @param link the link to the owner; still contains its open sessions.
  /// @param loss how it was lost.
  virtual void OnOwnerLost(owner_link& link, owner_loss loss) = 0;
  /// Called when the owner does not accept a session.
  /// @param link the link to the owner.
  /// @param stream the refused session, already removed from the link.
  virtual void OnRefused(owner_link& link,
                         std::shared_ptr<forwarded_stream> stream) = 0;
  /// Version of the configuration in force at this instance.
  virtual std::uint64_t ConfigurationVersion() const = 0;
  /// Called when the owner has a newer configuration.
  /// @param host IP address of the owner.
  virtual void OnNewerConfiguration(const std::string& host) = 0;
};

/// The link to one session owner, with the sessions that it serves for this
/// instance. The owner is considered lost if it does not answer a ping while an
/// answer to a session is awaited.
class owner_link : public frame_link_listener, public frame_sink {
 public:
  /// Connects to the owner. References must outlive the link.
  /// @param owner its host must be an IP address.
  owner_link(boost::asio::io_context& context,
             const forwarder_settings& settings,
             owner_candidate owner,
             owner_link_listener& listener);
  ~owner_link() override;

  /// The instance that the link connects to.
  const owner_candidate& Owner() const { return owner_; }
  /// Opens a session at the owner.
  void Open(std::shared_ptr<forwarded_stream> stream);
  /// Number of sessions that are open on the link.
  std::size_t Sessions() const { return streams_.size(); }
  /// Closes the link. @return the sessions that were open.
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
  /// When an answer was first awaited since the silence timer was last idle.
  core::time_point waiting_since_;
  /// When the last ping was sent; the epoch if none was sent since the silence
  /// timer was last idle.
  core::time_point ping_sent_at_;
  std::map<std::uint64_t, std::shared_ptr<forwarded_stream>> streams_;
  std::uint64_t next_session_ = 1;
  /// False once the link has ended, so that pending handlers do not use it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace plantaintiller::forwarding
