#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "plantaintiller/accounts/caller_identity.h"
#include "plantaintiller/core/time.h"
#include "plantaintiller/forwarding/owner_selection.h"

namespace plantaintiller::gateway {
class event_log;
}

namespace plantaintiller::forwarding {

/// Session that is to be forwarded.
struct session_opening {
  /// Database group whose owner serves it.
  std::string group;
  /// Name of the caller's database.
  std::string database;
  /// The caller; empty where there are no client accounts.
  accounts::caller_identity identity;
};

/// How a forwarded session ended.
enum class session_end : std::uint8_t {
  /// The caller has asked for it, or knows of it from the last answer.
  kExpected,
  /// The owner is lost, or ends sessions that are idle.
  kUnexpected,
};

/// Receives the answers and the end of a forwarded session.
class forwarded_listener {
 public:
  virtual ~forwarded_listener() = default;
  /// Called with bytes to send to the caller.
  virtual void OnForwardedBytes(const std::string& bytes) = 0;
  /// Called when the owner has ended the session or is lost, or refuses the
  /// session after the caller has sent bytes on it.
  virtual void OnForwardedSessionEnded(session_end end) = 0;
  /// Called when no owner accepts the session and the caller has not sent
  /// anything on it yet: this instance must serve it.
  virtual void OnServeLocally() = 0;
};

/// A caller's session that another instance serves.
class forwarded_session {
 public:
  virtual ~forwarded_session() = default;
  /// Sends bytes of the caller to the owner.
  virtual void Send(std::string_view bytes) = 0;
  /// Closes the session because the caller has disconnected. The listener is
  /// not called any more.
  virtual void Close() = 0;
  /// Asks the owner to send nothing more of this session to a server.
  virtual void RefuseFurtherWork() = 0;
  /// Bytes of the caller that have not been answered yet.
  virtual const std::string& Unanswered() const = 0;
  /// Whether a transaction was open after the last answer.
  virtual bool InTransaction() const = 0;
};

/// Interface of the instance that contains the forwarder.
class forwarder_host {
 public:
  virtual ~forwarder_host() = default;
  /// Instances that may own sessions in this availability zone, including this
  /// instance.
  /// @return empty if the deployment is too small for forwarding.
  virtual std::vector<owner_candidate> OwnerCandidates() const = 0;
  /// Version of the configuration in force at this instance.
  virtual std::uint64_t ConfigurationVersion() const = 0;
  /// Called when another instance has a newer configuration.
  /// @param host IP address of that instance.
  virtual void OnNewerConfiguration(const std::string& host) = 0;
};

/// Settings of a session_forwarder.
struct forwarder_settings {
  /// Name of this instance.
  std::string instance;
  /// Port on which all instances accept forwarded sessions.
  std::uint16_t port = 0;
  /// Time without received bytes, while an answer is awaited, after which the
  /// owner is pinged. Most statements are answered sooner.
  core::milliseconds ping_after{250};
  /// Time without received bytes after a ping, after which the owner is
  /// considered lost. Covers the scheduling delay of a loaded instance,
  /// including a pause that its processor quota may cause.
  core::milliseconds ping_timeout{600};
  /// Delay before an owner that was silent is tried again, because each trial
  /// takes the time-out. Doubled with each repeated failure, up to 8 times this
  /// value.
  core::milliseconds retry_backoff{1500};
  /// As `retry_backoff`, of an owner that refused a session or whose connection
  /// was refused or closed. A trial takes a round trip, and a process that
  /// restarts serves sessions again within 700 ms.
  core::milliseconds refused_backoff{250};
};

/// Forwards sessions to the owners of their database groups.
class session_forwarder {
 public:
  /// References must outlive the forwarder.
  session_forwarder(boost::asio::io_context& context,
                    const forwarder_settings& settings,
                    forwarder_host& host,
                    gateway::event_log& log);
  ~session_forwarder();

  /// Opens a session at the owner of a group.
  /// @param listener must stay valid until the session has ended or `Close` is
  /// called.
  /// @return null if this instance should serve the session.
  std::shared_ptr<forwarded_session> Open(const session_opening& opening,
                                          forwarded_listener& listener);
  /// Number of sessions that are forwarded now.
  std::size_t Sessions() const;
  /// Closes the links to all owners without calling the listeners.
  void Stop();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::forwarding
