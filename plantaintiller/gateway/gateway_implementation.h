#pragma once

#include <xxhash.h>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "plantaintiller/admission/admission_metrics.h"
#include "plantaintiller/admission/group_admission.h"
#include "plantaintiller/forwarding/remote_session_service.h"
#include "plantaintiller/forwarding/session_forwarder.h"
#include "plantaintiller/gateway/access_log.h"
#include "plantaintiller/gateway/balancing_reports.h"
#include "plantaintiller/gateway/caller_connection.h"
#include "plantaintiller/gateway/caller_session.h"
#include "plantaintiller/gateway/connection_pool.h"
#include "plantaintiller/gateway/connection_share.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/exchange_metrics.h"
#include "plantaintiller/gateway/gateway.h"
#include "plantaintiller/gateway/instance_registry.h"
#include "plantaintiller/gateway/leader_controller.h"
#include "plantaintiller/gateway/leadership_checks.h"
#include "plantaintiller/gateway/limit_exchange.h"
#include "plantaintiller/gateway/member_recorder.h"
#include "plantaintiller/gateway/peer_exchange.h"
#include "plantaintiller/gateway/server_list_history.h"
#include "plantaintiller/gateway/stall_monitor.h"
#include "plantaintiller/gateway/statement_metrics.h"
#include "plantaintiller/gateway/store_watch.h"
#include "plantaintiller/http/server.h"

namespace plantaintiller::gateway {

/// How long an instance in a large deployment relies on reads of the store by
/// others: the interval of a store reader, and two heartbeats on the way from
/// it over a relay.
inline constexpr core::milliseconds kPeerReadValidity{4000};

struct admission_services {
  admission::admission_metrics& metrics;
  admission::admission_listener& listener;
};

/// A database group with the connections to its servers.
struct group_entry {
  group_entry(boost::asio::io_context& context,
              sessions::server_codec& codec,
              const std::string& name,
              core::milliseconds draining_grace_period,
              connection_pool::listener& pool_listener,
              admission_services* admission_control)
      : state(name, draining_grace_period),
        admission(admission_control == nullptr
                      ? nullptr
                      : std::make_unique<admission::group_admission>(
                            state,
                            admission_control->metrics,
                            admission_control->listener,
                            std::random_device()())),
        pool(context, codec, state, pool_listener, admission.get()) {}
  replication::group_state state;
  /// Null unless the settings ask for it.
  std::unique_ptr<admission::group_admission> admission;
  connection_pool pool;
};

/// The parts of an instance and the events that connect them. Its member
/// functions are in gateway.cpp (start and stop), gateway_state.cpp
/// (configuration and servers), gateway_peers.cpp (other instances and leaders)
/// and gateway_operators.cpp (readiness, status and metrics).
class gateway::implementation : public caller_environment,
                                public connection_pool::listener,
                                public admission::admission_listener,
                                public store_watch_listener,
                                public peer_listener,
                                public leader_controller_listener,
                                public leadership_checks_listener,
                                public member_recorder_listener,
                                public instance_registry_listener,
                                public limit_exchange_host,
                                public forwarding::forwarder_host,
                                public forwarding::remote_session_host,
                                public http::handler {
 public:
  implementation(boost::asio::io_context& context,
                 const gateway_settings& settings,
                 const gateway_dependencies& dependencies)
      : context_(context),
        settings_(settings),
        dependencies_(dependencies),
        acceptor_(context),
        readiness_(context, ReadinessSettings(settings), *this),
        signals_(context, SIGTERM, SIGINT),
        reload_(context, SIGHUP),
        stop_timer_(context),
        watch_(context, dependencies.rows, dependencies.directory, log_, *this),
        exchange_(context, settings, log_, *this),
        registry_(context, settings, dependencies.rows, exchange_, *this),
        limits_(context, settings, log_, *this),
        forwarder_(context, ForwarderSettings(settings), *this, log_),
        remote_sessions_(context, *this, log_),
        leader_controller_(context,
                           settings,
                           {dependencies.servers, dependencies.status,
                            dependencies.rows, dependencies.promotions, log_},
                           *this),
        members_(dependencies.rows, log_, this),
        leadership_checks_(context,
                           dependencies.servers,
                           dependencies.status,
                           *this) {}

  int Run();

  // caller_environment
  const core::route_table& Routes() const override { return routes_; }
  replication::group_state* Group(const std::string& name) override {
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : &found->second->state;
  }
  connection_pool* Pool(const std::string& name) override {
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : &found->second->pool;
  }
  admission::group_admission* Admission(const std::string& name) override {
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : found->second->admission.get();
  }
  leadership_checks& LeadershipChecks() override { return leadership_checks_; }
  sessions::caller_codec& Callers() override { return dependencies_.callers; }
  sessions::server_codec& Servers() override { return dependencies_.servers; }
  const sessions::session_settings& SessionSettings() const override {
    return settings_.session;
  }
  accounts::operation_limiter* OperationLimiter() override {
    return &limits_.Limiter();
  }
  forwarding::session_forwarder& Forwarder() override { return forwarder_; }
  event_log& Log() override { return log_; }
  statement_metrics& Metrics() override { return metrics_; }
  void OnCommitConfirmed(const std::string& group,
                         const std::string& server,
                         core::time_point sent) override {
    leadership_checks_.OnCommitConfirmed(group, server, sent);
    members_.OnCommitConfirmed(group, sent);
  }
  void OnNotLeader(const std::string& group,
                   const std::string& server) override;
  void OnServerUnresponsive(const std::string& group,
                            const std::string& server) override;
  void OnAccessRefused(const accounts::caller_identity& identity,
                       accounts::access reason,
                       const std::string& database) override {
    access_log_.OnRefused(identity, reason, database, core::clock::now());
  }
  void OnCallerClosed(caller_connection& caller) override;

  // connection_pool::listener
  void OnServerFull(const std::string& group,
                    const std::string& server) override;
  void OnServerUnreachable(const std::string& group,
                           const std::string& server) override;
  void OnConnectionReplaced() override {
    metrics_.Count("connections_replaced");
  }
  void OnServerLinkFault(const std::string& group,
                         const std::string& server,
                         link_fault fault,
                         int outstanding) override;

  // admission::admission_listener
  void OnAdmissionState(
      const std::string& group,
      const admission::admission_state_change& change) override;

  // store_watch_listener
  void OnRoutes(const std::string& text, core::route_table routes) override;
  void OnServers(std::vector<replication::server_entry> servers,
                 store::row_version version) override;

  core::time_point NextOwnRead() const override {
    // A store reader that cannot read the store relies on the other readers.
    return exchange_.IsStoreReader() && !watch_.IsStoreUnavailable()
               ? core::time_point{}
               : store_read_at_ + kPeerReadValidity;
  }

  // peer_listener
  instance_view View() const override;
  state_request Request() const override {
    return {routes_.version, list_version_,
            needs_whole_list_ ? 0 : server_list_.Hash()};
  }
  remote_state StateFor(const state_request& request) const override;
  void OnPeerLeader(const std::string& instance,
                    const leader_view& leader) override;
  void OnConnectionRequest(const std::string& group,
                           const std::string& server) override;
  void OnRemoteState(const remote_state& state) override;
  void OnStoreAge(core::milliseconds age, std::uint64_t list_version) override;
  bool NeedsServerList() const override {
    return watch_.IsStoreUnavailable() || !exchange_.IsStoreReader();
  }

  // leader_controller_listener
  void OnLeaderChange(const std::string& group) override;
  void OnPromotionCall(store::promotion_status status) override;
  void OnListNeeded() override { watch_.ReadServersSoon(); }
  std::size_t LiveInstances() const override {
    return exchange_.LivePeers() + 1;
  }

  // member_recorder_listener
  void OnMemberRecorded(const std::string& group,
                        const replication::server_entry& member) override {
    const auto found = groups_.find(group);
    if (found != groups_.end()) {
      found->second->state.OnRecordedMember(member, core::clock::now());
    }
  }
  // leadership_checks_listener
  void OnLeaderFoundChanged(const std::string& group) override;

  // instance_registry_listener
  void OnInstancesRead() override { UpdateConnectionLimits(); }

  // limit_exchange_host
  std::vector<relay_candidate> LimitPeers() const override {
    return exchange_.LiveInstances();
  }
  std::size_t AdmittingInstances() const override;

  // forwarding::forwarder_host and forwarding::remote_session_host
  std::vector<forwarding::owner_candidate> OwnerCandidates() const override {
    return exchange_.ZoneMembers();
  }
  bool AcceptsRemoteSessions() const override { return IsReady(); }
  std::shared_ptr<sessions::hosted_session> MakeRemoteSession(
      sessions::session_channel& channel) override {
    return std::make_shared<caller_session>(context_, *this, channel);
  }
  void OnRemoteSessionEnded() override {
    if (closing_when_idle_) {
      boost::asio::post(context_, [this] { FinishIfEmpty(); });
    }
  }
  std::uint64_t ConfigurationVersion() const override {
    return routes_.version;
  }
  void OnNewerConfiguration(const std::string& host) override {
    exchange_.PullState(host);
  }

  // http::handler
  void Handle(const http::request& request, http::responder respond) override;

 private:
  static forwarding::forwarder_settings ForwarderSettings(
      const gateway_settings& settings) {
    forwarding::forwarder_settings result;
    result.instance = settings.instance;
    result.port = settings.forwarding_port;
    return result;
  }
  static http::server_settings ReadinessSettings(
      const gateway_settings& settings) {
    http::server_settings result;
    result.host = settings.readiness.host;
    result.port = settings.readiness.port;
    result.max_connections = 64;
    return result;
  }

  /// Time after which a draining server gets no more work. It is shorter than
  /// the drain limit, because a list may be outdated by one read and one
  /// heartbeat of a relay, and work takes some time to arrive.
  core::milliseconds DrainingGracePeriod() const {
    return std::max(settings_.drain_limit / 4,
                    settings_.drain_limit - core::milliseconds(2500));
  }
  bool IsReady() const {
    return !stopping_ && routes_.version > 0 && servers_known_;
  }
  group_entry& EnsureGroup(const std::string& name);
  std::map<std::string, replication::distance> Distances() const;
  /// Whether this instance records the members of a group in the store.
  bool RecordsMembersOf(const std::string& group) const;
  void ApplyServers(store::row_version version);
  void AdoptRoutes(const std::string& text,
                   core::route_table routes,
                   change_source source);
  void AdoptServerList(std::vector<replication::server_entry> servers,
                       store::row_version version,
                       change_source source);
  /// Called when the store was read, by this instance or by one that told it.
  void OnStoreRead(core::time_point read_at);
  void AnnounceLeader(const std::string& group, change_source source);
  /// Sets the version of the list in use, and registers again if the store has
  /// come back from an older copy.
  void RaiseListVersion(store::row_version version);
  /// Instances that share the servers' connections.
  struct sharing_instances {
    /// Whether each group is served by a session owner of this availability
    /// zone.
    bool has_owners = false;
    std::size_t count = 1;
  };
  /// @return nothing while the other instances are not known.
  std::optional<sharing_instances> SharingInstances() const;
  /// Sets the limits of each group's pool to this instance's share of the
  /// servers' connections.
  void UpdateConnectionLimits();
  /// @return the session owner of a group in this availability zone; only in a
  /// large deployment. It is computed once for each change of the members,
  /// because it takes a hash for each of them.
  const std::string& OwnerOf(const std::string& group);
  connection_pool::limits ConnectionLimits(
      const core::group_settings& group,
      const std::optional<sharing_instances>& sharing);
  std::string AdmissionMetrics() const;
  http::response OperatorResponse(const std::string& target);
  void ListenForCallers();
  void ListenForOperators();
  void Accept();
  void Stop(int signal);
  void CloseIdleCallers();
  void FinishStop();
  /// During shutdown, stops before the end of the grace period once no session
  /// is left.
  void FinishIfEmpty();
  template <class each_caller>
  void ForEachCaller(each_caller act);

  boost::asio::io_context& context_;
  const gateway_settings& settings_;
  gateway_dependencies dependencies_;
  event_log log_;
  statement_metrics metrics_;
  stall_monitor stall_monitor_{context_, log_, metrics_};
  access_log access_log_{log_, metrics_};
  admission::admission_metrics admission_metrics_;
  admission_services admission_services_{admission_metrics_, *this};
  balancing_reports balancing_reports_{log_};
  core::route_table routes_;
  std::map<std::string, std::unique_ptr<group_entry>> groups_;
  bool servers_known_ = false;
  std::set<std::shared_ptr<caller_connection>> callers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  http::server readiness_;
  boost::asio::signal_set signals_;
  boost::asio::signal_set reload_;
  boost::asio::steady_timer stop_timer_;
  bool stopping_ = false;
  bool closing_when_idle_ = false;
  std::string routes_text_;
  server_list_history server_list_;
  store::row_version list_version_ = 0;
  /// Whether changes of the list could not be applied, so that the next request
  /// is for the whole list.
  bool needs_whole_list_ = false;
  /// When the store was last read, by this instance or by one whose read it
  /// relies on.
  core::time_point store_read_at_;
  /// When the limits of connections were computed, and for which members.
  core::time_point limits_updated_at_;
  std::uint64_t limits_generation_ = 0;
  /// Session owners of groups, for one generation of the members.
  std::map<std::string, std::string> owners_;
  std::uint64_t owners_generation_ = 0;
  /// When the leader of each group last changed.
  std::map<std::string, core::time_point> leader_changed_at_;
  store_watch watch_;
  peer_exchange exchange_;
  instance_registry registry_;
  limit_exchange limits_;
  forwarding::session_forwarder forwarder_;
  forwarding::remote_session_service remote_sessions_;
  leader_controller leader_controller_;
  member_recorder members_;
  leadership_checks leadership_checks_;
  std::unique_ptr<http::server> operators_;
  std::unique_ptr<http::server> metrics_server_;
};

}  // namespace plantaintiller::gateway
