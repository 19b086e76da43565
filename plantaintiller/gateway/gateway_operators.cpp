// Readiness, status and metrics of an instance.

#include "plantaintiller/gateway/gateway_implementation.h"

namespace plantaintiller::gateway {

void gateway::implementation::OnAdmissionState(
    const std::string& group,
    const admission::admission_state_change& change) {
  log_line(log_, "admission", change.overloaded ? "overloaded" : "normal")
      .With("group", group)
      .With("waiting", static_cast<std::int64_t>(change.waiting))
      .With("refused", static_cast<std::int64_t>(change.refused));
}

std::string gateway::implementation::AdmissionMetrics() const {
  if (!settings_.session.deadline_admission) {
    return "";
  }
  std::map<int, std::size_t> lengths;
  for (const auto& [name, group] : groups_) {
    for (const auto& [priority, length] :
         group->admission->Queue().LengthByClass()) {
      lengths[priority] += length;
    }
  }
  return admission_metrics_.Text(lengths);
}

void gateway::implementation::Handle(const http::request& request,
                                     http::responder respond) {
  if (request.target == "/metrics" || request.target.starts_with("/v1/")) {
    respond(OperatorResponse(request.target));
    return;
  }
  http::response answer;
  answer.status = IsReady() ? 200 : 503;
  answer.content_type = "text/plain";
  respond(std::move(answer));
}

http::response gateway::implementation::OperatorResponse(
    const std::string& target) {
  http::response answer;
  if (target == "/metrics" || target == "/v1/metrics") {
    metrics_.Set("callers", callers_.size());
    metrics_.Set("forwarded_sessions", forwarder_.Sessions());
    metrics_.Set("guest_sessions", remote_sessions_.Sessions());
    metrics_.Set("configuration_version", routes_.version);
    metrics_.Set("live_peers", exchange_.LivePeers());
    metrics_.Set("log_lines_dropped", log_.Dropped());
    SetExchangeMetrics(exchange_.Counts(), metrics_);
    metrics_.Set("leadership_queries", leadership_checks_.Queries());
    answer.content_type = "text/plain";
    std::vector<const replication::group_state*> groups;
    for (const auto& [name, group] : groups_) {
      groups.push_back(&group->state);
    }
    answer.body = metrics_.Text() + limits_.MetricsText() + AdmissionMetrics() +
                  balancing_reports::Text(groups, core::clock::now());
    return answer;
  }
  if (target == "/v1/status") {
    answer.body = boost::json::serialize(
        boost::json::object{{"instance", settings_.instance},
                            {"zone", settings_.zone},
                            {"ready", IsReady()},
                            {"stopping", stopping_},
                            {"store_lost", watch_.IsStoreUnavailable()},
                            {"configuration_version", routes_.version},
                            {"live_peers", exchange_.LivePeers()},
                            {"callers", callers_.size()}});
    return answer;
  }
  if (target == "/v1/routing") {
    boost::json::array groups;
    for (const auto& [name, group] : groups_) {
      boost::json::array servers;
      for (const auto& [id, each] : group->state.Servers()) {
        servers.push_back({{"server", id},
                           {"address", each.entry.address},
                           {"zone", each.entry.zone},
                           {"draining", each.entry.draining},
                           {"running", each.connections_in_use}});
      }
      groups.push_back({{"group", name},
                        {"leader", group->state.Leader()},
                        {"term", group->state.LeaderTerm()},
                        {"waiting", group->pool.Waiting()},
                        {"servers", std::move(servers)}});
    }
    answer.body = boost::json::serialize(groups);
    return answer;
  }
  answer.status = 404;
  answer.body = R"({"error":{"type":"not_found"}})";
  return answer;
}

}  // namespace plantaintiller::gateway
