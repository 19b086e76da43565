#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "plantaintiller/sessions/hosted_session.h"

namespace plantaintiller::gateway {
class event_log;
}

namespace plantaintiller::forwarding {

/// Interface of the instance that serves callers of other instances.
class remote_session_host {
 public:
  virtual ~remote_session_host() = default;
  /// Whether new sessions are accepted.
  virtual bool AcceptsRemoteSessions() const = 0;
  /// Creates a session without starting it.
  /// @param channel must stay valid until the session is destroyed or its
  /// `OnCallerDisconnected` is called.
  virtual std::shared_ptr<sessions::hosted_session> MakeRemoteSession(
      sessions::session_channel& channel) = 0;
  /// Called when a session has ended.
  virtual void OnRemoteSessionEnded() = 0;
  /// Version of the configuration in force at this instance.
  virtual std::uint64_t ConfigurationVersion() const = 0;
  /// Called when another instance has a newer configuration.
  /// @param host IP address of that instance.
  virtual void OnNewerConfiguration(const std::string& host) = 0;
};

/// Serves the sessions that other instances forward.
///
/// A batch with a newer configuration version waits for that configuration, so
/// that a caller is not served under an older configuration than its own
/// instance has. The wait has a limit, after which the batch is served.
class remote_session_service {
 public:
  /// References must outlive the service.
  remote_session_service(boost::asio::io_context& context,
                         remote_session_host& host,
                         gateway::event_log& log);
  ~remote_session_service();

  /// Accepts connections of other instances.
  /// @param host, @param port IP address and port that they connect to.
  void Listen(const std::string& host, std::uint16_t port);
  /// Called when a newer configuration is in force; serves the batches that
  /// wait for it.
  void OnConfiguration();
  /// Closes each session as soon as no request and no transaction is open on
  /// it.
  void CloseWhenIdle();
  /// Lets no session send anything more to a server.
  /// @param reason passed to the sessions.
  void RefuseFurtherWork(const char* reason);
  /// Number of sessions that are served now.
  std::size_t Sessions() const;
  /// Stops accepting connections and closes all links.
  void Stop();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::forwarding
