#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "plantaintiller/core/time.h"
#include "plantaintiller/forwarding/owner_selection.h"

namespace plantaintiller::gateway {
class event_log;
}

namespace plantaintiller::forwarding {

/// Told what becomes of a forwarded session.
class forwarded_listener {
 public:
  virtual ~forwarded_listener() = default;
  /// Bytes for the caller.
  virtual void OnForwardedBytes(const std::string& bytes) = 0;
  /// The session ended at its home, or its home is lost.
  virtual void OnForwardedSessionEnded() = 0;
  /// No home takes the session, of which the caller has said nothing yet: it is
  /// to be served here.
  virtual void OnServeLocally() = 0;
};

/// A caller's session that another instance serves.
class forwarded_session {
 public:
  virtual ~forwarded_session() = default;
  /// Bytes of the caller.
  virtual void Send(std::string_view bytes) = 0;
  /// The caller has left; the listener hears nothing more.
  virtual void Close() = 0;
  /// Has an open transaction given up.
  virtual void AbandonTransaction() = 0;
  /// Bytes of the caller that were not answered yet.
  virtual const std::string& Unanswered() const = 0;
  /// Whether a transaction was open after the last answer.
  virtual bool InTransaction() const = 0;
};

/// What forwarding asks of the instance around it.
class forwarder_host {
 public:
  virtual ~forwarder_host() = default;
  /// Instances that may serve a group for this zone, this one among them.
  /// @return empty if the deployment is too small for forwarding.
  virtual std::vector<owner_candidate> OwnerCandidates() const = 0;
  virtual std::uint64_t ConfigurationVersion() const = 0;
  /// An instance has a newer configuration.
  virtual void OnNewerConfiguration(const std::string& host) = 0;
};

/// Limits of forwarding.
struct forwarder_settings {
  /// This instance.
  std::string instance;
  /// Port on which all instances take forwarded sessions.
  std::uint16_t port = 0;
  /// Silence, while an answer is awaited, after which the home is asked for a
  /// sign of life: statements mostly take less.
  core::milliseconds ping_after{250};
  /// Silence after that question which ends the link: a loaded instance's turn,
  /// with the pause that a processor quota may make.
  core::milliseconds ping_timeout{600};
  /// Pause before a lost home is tried again, doubled up to 8 times: about the
  /// restart of a process.
  core::milliseconds retry_backoff{1500};
};

/// Passes sessions to the homes of their database groups.
class session_forwarder {
 public:
  /// References must outlive the forwarder.
  session_forwarder(boost::asio::io_context& context,
                    const forwarder_settings& settings,
                    forwarder_host& host,
                    gateway::event_log& log);
  ~session_forwarder();

  /// Opens a session at the home of a group.
  /// @param listener must outlive the session, or its `Leave`.
  /// @return null if the session should be served here.
  std::shared_ptr<forwarded_session> Open(const std::string& group,
                                          const std::string& database,
                                          forwarded_listener& listener);
  /// Sessions that are forwarded now.
  std::size_t Sessions() const;
  void Stop();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::forwarding
