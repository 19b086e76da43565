#include "plantaintiller/gateway/leadership_checks.h"

#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "plantaintiller/gateway/send_server_command.h"

namespace plantaintiller::gateway {

namespace {

/// Time-out of a status query: a new connection and a round trip between
/// regions.
constexpr core::milliseconds kQueryTimeout{250};

}  // namespace

class leadership_checks::implementation
    : public replication::leadership_check_host,
      public std::enable_shared_from_this<implementation> {
 public:
  implementation(boost::asio::io_context& context,
                 sessions::server_codec& servers,
                 sessions::status_reader& status,
                 leadership_checks_listener& listener)
      : context_(context),
        servers_(servers),
        status_(status),
        listener_(listener) {}

  struct checked_group {
    checked_group(boost::asio::io_context& context,
                  replication::group_state& state,
                  connection_pool& connections,
                  replication::leadership_check_host& host)
        : pool(connections), check(host, state), timer(context) {}
    connection_pool& pool;
    replication::leadership_check check;
    boost::asio::steady_timer timer;
  };

  // replication::leadership_check_host
  core::time_point Now() const override { return core::clock::now(); }
  void QueryStatus(const std::string& group,
                   const std::string& server,
                   std::function<void(std::optional<sessions::server_status>)>
                       done) override {
    std::string bytes;
    servers_.AppendStatus(bytes);
    SendServerCommand(
        context_, groups_.at(group)->pool, server, std::move(bytes),
        kQueryTimeout, answer_use::kDecides,
        [self = shared_from_this(),
         done = std::move(done)](std::optional<sessions::server_reply> reply) {
          if (!self->stopped_) {
            done(reply.has_value() ? self->status_.Read(*reply) : std::nullopt);
          }
        });
  }
  void SetCheckTimer(const std::string& group,
                     core::milliseconds pause) override {
    checked_group* each = groups_.at(group).get();
    each->timer.expires_after(pause);
    each->timer.async_wait(
        [self = shared_from_this(), each](boost::system::error_code cancelled) {
          if (!cancelled && !self->stopped_) {
            each->check.OnTimer();
          }
        });
  }
  void OnLeaderChanged(const std::string& group) override {
    listener_.OnLeaderFoundChanged(group);
  }

  boost::asio::io_context& context_;
  sessions::server_codec& servers_;
  sessions::status_reader& status_;
  leadership_checks_listener& listener_;
  std::map<std::string, std::unique_ptr<checked_group>> groups_;
  bool stopped_ = false;
};

leadership_checks::leadership_checks(boost::asio::io_context& context,
                                     sessions::server_codec& servers,
                                     sessions::status_reader& status,
                                     leadership_checks_listener& listener)
    : implementation_(std::make_shared<implementation>(context,
                                                       servers,
                                                       status,
                                                       listener)) {}

leadership_checks::~leadership_checks() {
  Stop();
}

void leadership_checks::Add(replication::group_state& group,
                            connection_pool& pool) {
  implementation_->groups_.emplace(
      group.Name(),
      std::make_unique<implementation::checked_group>(
          implementation_->context_, group, pool, *implementation_));
}

void leadership_checks::Request(
    const std::string& group,
    const std::string& server,
    std::optional<replication::acknowledged_commit> commit,
    replication::leadership_check_listener& listener) {
  const auto found = implementation_->groups_.find(group);
  if (found != implementation_->groups_.end()) {
    found->second->check.Request(server, listener, commit);
  }
}

void leadership_checks::Cancel(
    const std::string& group,
    replication::leadership_check_listener& listener) {
  const auto found = implementation_->groups_.find(group);
  if (found != implementation_->groups_.end()) {
    found->second->check.Cancel(listener);
  }
}

void leadership_checks::OnCommitConfirmed(const std::string& group,
                                          const std::string& server,
                                          core::time_point sent) {
  const auto found = implementation_->groups_.find(group);
  if (found != implementation_->groups_.end()) {
    found->second->check.OnCommitConfirmed(server, sent);
  }
}

std::uint64_t leadership_checks::Queries() const {
  std::uint64_t queries = 0;
  for (const auto& [name, each] : implementation_->groups_) {
    queries += each->check.Queries();
  }
  return queries;
}

void leadership_checks::Stop() {
  implementation_->stopped_ = true;
  for (auto& [name, each] : implementation_->groups_) {
    each->timer.cancel();
  }
}

}  // namespace plantaintiller::gateway
