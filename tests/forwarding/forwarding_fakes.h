#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/forwarding/remote_session_service.h"
#include "plantaintiller/forwarding/session_forwarder.h"
#include "plantaintiller/gateway/event_log.h"
#include "platform/caller_line_codec.h"

namespace plantaintiller::forwarding {

inline constexpr const char* kHost = "127.0.0.1";

/// A session that answers bytes "X" with "did X". It leaves "wait" unanswered
/// and finishes on "end".
class echo_session : public sessions::hosted_session {
 public:
  explicit echo_session(sessions::session_channel& channel)
      : channel_(&channel) {}

  void Start(const std::string& database,
             const accounts::caller_identity& opened_by) override {
    identity = opened_by;
    channel_->Send("hello " + database);
  }
  void OnBytes(std::string_view bytes) override {
    received += bytes;
    if (silent || bytes == "wait") {
      fully_answered = false;
      return;
    }
    if (bytes == "end") {
      channel_->Finish();
      return;
    }
    in_transaction = bytes == "begin";
    fully_answered = true;
    channel_->Send("did " + std::string(bytes));
  }
  void OnCallerDisconnected() override {
    channel_ = nullptr;
    disconnected = true;
  }
  void RefuseFurtherWork(const char* reason) override { abandoned = reason; }
  void CloseWhenIdle() override {
    if (channel_ != nullptr) {
      channel_->EndIdle({codec, sessions::failure_code::kBusy, "shutdown"});
    }
  }
  bool IsFullyAnswered() const override { return fully_answered; }
  bool InTransaction() const override { return in_transaction; }
  bool IsInputFull() const override { return false; }

  platform::caller_line_codec codec;
  accounts::caller_identity identity;
  std::string received;
  std::string abandoned;
  /// Whether it answers nothing.
  bool silent = false;
  bool disconnected = false;
  bool fully_answered = true;
  bool in_transaction = false;

 private:
  sessions::session_channel* channel_;
};

/// An instance that serves remote sessions.
class serving_instance : public remote_session_host {
 public:
  explicit serving_instance(boost::asio::io_context& context)
      : service(context, *this, log) {}

  bool AcceptsRemoteSessions() const override { return accepts; }
  std::shared_ptr<sessions::hosted_session> MakeRemoteSession(
      sessions::session_channel& channel) override {
    remote_sessions.push_back(std::make_shared<echo_session>(channel));
    return remote_sessions.back();
  }
  void OnRemoteSessionEnded() override { ended += 1; }
  std::uint64_t ConfigurationVersion() const override { return version; }
  void OnNewerConfiguration(const std::string& host) override {
    configuration_host = host;
  }

  gateway::event_log log;
  bool accepts = true;
  std::uint64_t version = 1;
  int ended = 0;
  /// Address of the instance that has a newer configuration.
  std::string configuration_host;
  std::vector<std::shared_ptr<echo_session>> remote_sessions;
  remote_session_service service;
};

/// An instance that forwards the sessions of its callers.
class calling_instance : public forwarder_host {
 public:
  calling_instance(boost::asio::io_context& context, std::uint16_t port)
      : forwarder(context, Settings(port), *this, log) {}

  std::vector<owner_candidate> OwnerCandidates() const override {
    return candidates;
  }
  std::uint64_t ConfigurationVersion() const override { return version; }
  void OnNewerConfiguration(const std::string&) override {
    newer_configuration = true;
  }

  static forwarder_settings Settings(std::uint16_t port) {
    forwarder_settings settings;
    settings.instance = "caller";
    settings.port = port;
    return settings;
  }

  gateway::event_log log;
  std::vector<owner_candidate> candidates = {{"owner", kHost, 1.0}};
  std::uint64_t version = 1;
  bool newer_configuration = false;
  session_forwarder forwarder;
};

/// @return a port that is free now.
inline std::uint16_t FreePort(boost::asio::io_context& context) {
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address(kHost), 0});
  return acceptor.local_endpoint().port();
}

}  // namespace plantaintiller::forwarding
