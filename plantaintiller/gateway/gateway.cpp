// Start and stop of an instance.

#include "plantaintiller/core/source_digest.h"
#include "plantaintiller/gateway/gateway_implementation.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Time that the load balancer needs to stop sending new connections: it checks
/// readiness once a second and removes an instance after two failed checks.
/// Until then new connections are served.
constexpr core::milliseconds kLoadBalancerDelay{2300};
/// Fraction of the shutdown grace period after which open transactions are
/// rolled back and nothing more is sent to servers.
constexpr double kWorkFraction = 0.5;
/// Fraction of the shutdown grace period after which the remaining sessions are
/// cut off.
constexpr double kCutOffFraction = 0.9;
constexpr int kBacklog = 1024;

}  // namespace

int gateway::implementation::Run() {
  log_line(log_, "instance", "start")
      .With("instance", settings_.instance)
      .With("source", core::SourceDigest())
      .With("zone", settings_.zone)
      .With("callers", settings_.callers.host + ":" +
                           std::to_string(settings_.callers.port));
  ListenForOperators();
  readiness_.Listen();
  signals_.async_wait([this](error_code failed, int signal) {
    if (!failed) {
      Stop(signal);
    }
  });
  exchange_.Start();
  limits_.Start();
  remote_sessions_.Listen(settings_.peers.host, settings_.forwarding_port);
  watch_.Start();
  registry_.Start();
  stall_monitor_.Start();
  context_.run();
  log_line(log_, "instance", "stop").With("instance", settings_.instance);
  return 0;
}

void gateway::implementation::ListenForCallers() {
  // Without the routes, this instance would have to refuse sessions that may be
  // allowed.
  if (acceptor_.is_open() || !IsReady()) {
    return;
  }
  const tcp::endpoint endpoint(asio::ip::make_address(settings_.callers.host),
                               settings_.callers.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
  Accept();
  log_line(log_, "instance", "ready").With("instance", settings_.instance);
}

void gateway::implementation::ListenForOperators() {
  if (settings_.operators.port != 0) {
    http::server_settings operators = ReadinessSettings(settings_);
    operators.host = settings_.operators.host;
    operators.port = settings_.operators.port;
    operators_ = std::make_unique<http::server>(context_, operators, *this);
    operators_->Listen();
  }
  if (settings_.metrics_port != 0) {
    http::server_settings metrics = ReadinessSettings(settings_);
    metrics.port = settings_.metrics_port;
    metrics_server_ = std::make_unique<http::server>(context_, metrics, *this);
    metrics_server_->Listen();
  }
}

void gateway::implementation::Accept() {
  acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
    if (failed == asio::error::operation_aborted || !acceptor_.is_open()) {
      return;
    }
    if (!failed && callers_.size() < settings_.max_sockets / 2) {
      const auto caller =
          caller_connection::Start(context_, std::move(socket), *this);
      callers_.insert(caller);
      if (closing_when_idle_) {
        caller->CloseWhenIdle();
      }
    }
    Accept();
  });
}

void gateway::implementation::OnCallerClosed(caller_connection& caller) {
  callers_.erase(caller.shared_from_this());
  FinishIfEmpty();
}

void gateway::implementation::FinishIfEmpty() {
  if (closing_when_idle_ && callers_.empty() &&
      remote_sessions_.Sessions() == 0) {
    FinishStop();
  }
}

template <class each_caller>
void gateway::implementation::ForEachCaller(each_caller act) {
  // Copied, because `act` may end connections and so change the set.
  const std::vector<std::shared_ptr<caller_connection>> all(callers_.begin(),
                                                            callers_.end());
  for (const auto& each : all) {
    act(*each);
  }
}

void gateway::implementation::Stop(int signal) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  log_line(log_, "instance", "stopping")
      .With("signal", signal)
      .With("callers", static_cast<std::int64_t>(callers_.size()));
  stop_timer_.expires_after(
      std::min(kLoadBalancerDelay, settings_.shutdown_grace / 3));
  stop_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) {
      CloseIdleCallers();
    }
  });
}

void gateway::implementation::CloseIdleCallers() {
  closing_when_idle_ = true;
  ForEachCaller([](caller_connection& each) { each.CloseWhenIdle(); });
  remote_sessions_.CloseWhenIdle();
  FinishIfEmpty();
  if (context_.stopped()) {
    return;
  }
  const core::time_point started =
      stop_timer_.expiry() -
      std::min(kLoadBalancerDelay, settings_.shutdown_grace / 3);
  const auto grace =
      std::chrono::duration<double, std::milli>(settings_.shutdown_grace);
  stop_timer_.expires_at(started + std::chrono::duration_cast<core::duration>(
                                       grace * kWorkFraction));
  stop_timer_.async_wait([this, started, grace](error_code cancelled) {
    if (cancelled) {
      return;
    }
    ForEachCaller([](caller_connection& each) {
      each.RefuseFurtherWork("shutdown");
      each.CloseWhenIdle();
    });
    remote_sessions_.RefuseFurtherWork("shutdown");
    stop_timer_.expires_at(started + std::chrono::duration_cast<core::duration>(
                                         grace * kCutOffFraction));
    stop_timer_.async_wait([this](error_code stopped) {
      if (!stopped) {
        FinishStop();
      }
    });
  });
}

void gateway::implementation::FinishStop() {
  stop_timer_.cancel();
  stall_monitor_.Stop();
  watch_.Stop();
  limits_.Stop();
  exchange_.Stop();
  registry_.Stop();
  leader_controller_.Stop();
  leadership_checks_.Stop();
  forwarder_.Stop();
  remote_sessions_.Stop();
  context_.stop();
}

gateway::gateway(asio::io_context& context,
                 const gateway_settings& settings,
                 const gateway_dependencies& dependencies)
    : implementation_(
          std::make_unique<implementation>(context, settings, dependencies)) {}

gateway::~gateway() = default;

int gateway::Run() {
  return implementation_->Run();
}

}  // namespace plantaintiller::gateway
