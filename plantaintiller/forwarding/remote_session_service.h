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

/// What serving callers of other instances asks of the instance around it.
class remote_session_host {
 public:
  virtual ~remote_session_host() = default;
  /// Whether new sessions are taken.
  virtual bool AcceptsRemoteSessions() const = 0;
  /// Makes a session that is not started. @param channel must outlive the
  /// session, or its `OnCallerDisconnected`.
  virtual std::shared_ptr<sessions::hosted_session> MakeRemoteSession(
      sessions::session_channel& channel) = 0;
  /// A session has ended.
  virtual void OnRemoteSessionEnded() = 0;
  virtual std::uint64_t ConfigurationVersion() const = 0;
  /// An instance has a newer configuration.
  virtual void OnNewerConfiguration(const std::string& host) = 0;
};

/// Serves the sessions that other instances forward.
///
/// Nothing of a caller is served under an older configuration than its own
/// instance has: a batch with a newer version waits for the configuration.
class remote_session_service {
 public:
  /// References must outlive the service.
  remote_session_service(boost::asio::io_context& context,
                         remote_session_host& host,
                         gateway::event_log& log);
  ~remote_session_service();

  /// Listens. @param host, @param port as other instances know them.
  void Listen(const std::string& host, std::uint16_t port);
  /// A newer configuration is in force: serves what waited for it.
  void OnConfiguration();
  /// Has all sessions end as soon as they are idle.
  void CloseWhenIdle();
  /// Gives up all open transactions.
  void AbandonTransactions(const char* reason);
  /// Sessions that are served now.
  std::size_t Sessions() const;
  void Stop();

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::forwarding
