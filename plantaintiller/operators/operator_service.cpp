#include "plantaintiller/operators/operator_service.h"

#include <boost/json.hpp>
#include <utility>

namespace plantaintiller::operators {

namespace {

using boost::json::array;
using boost::json::object;

constexpr int kUnavailable = 503;

array SlotArray(core::server_set set) {
  array slots;
  for (core::slot_number slot = 0; slot < core::kMaxSlots; ++slot) {
    if (set.Contains(slot)) {
      slots.emplace_back(slot);
    }
  }
  return slots;
}

object DatabaseObject(const database_status& database) {
  array servers;
  for (const server_status& server : database.servers) {
    servers.push_back(object{{"slot", server.slot},
                             {"availability_zone", server.zone},
                             {"alive", server.alive},
                             {"leaving", server.leaving},
                             {"connections", server.connections},
                             {"position", server.position},
                             {"age_ms", server.age_ms}});
  }
  return object{{"name", database.name},
                {"watched", database.watched},
                {"term", database.record.term},
                {"primary", database.record.primary},
                {"confirming", SlotArray(database.record.confirming)},
                {"promotable", SlotArray(database.record.promotable)},
                {"backend_servers", std::move(servers)}};
}

http::response FormatRouting(const instance_status& status) {
  array databases;
  for (const database_status& database : status.databases) {
    databases.push_back(DatabaseObject(database));
  }
  http::response answer;
  answer.body = boost::json::serialize(
      object{{"instance", status.self.value},
             {"configuration_version", status.configuration_version},
             {"databases", std::move(databases)}});
  return answer;
}

http::response FormatStatus(const instance_status& status) {
  array live;
  for (const core::instance_id each : status.live_instances) {
    live.emplace_back(each.value);
  }
  http::response answer;
  answer.body = boost::json::serialize(
      object{{"instance", status.self.value},
             {"availability_zone", status.zone},
             {"deployment", status.deployment},
             {"configuration_version", status.configuration_version},
             {"ready", status.ready},
             {"draining", status.draining},
             {"unfinished", status.unfinished},
             {"live_instances", std::move(live)}});
  return answer;
}

http::response FormatReady(const instance_status& status) {
  const bool ready = status.ready && !status.draining;
  http::response answer;
  answer.status = ready ? 200 : kUnavailable;
  answer.body = boost::json::serialize(object{{"ready", ready}});
  return answer;
}

http::response ErrorResponse(int status, const char* type) {
  http::response answer;
  answer.status = status;
  answer.body =
      boost::json::serialize(object{{"error", object{{"type", type}}}});
  return answer;
}

}  // namespace

operator_service::operator_service(core::channel<query>& queries,
                                   const metrics::registry& metrics)
    : queries_(queries), metrics_(metrics) {}

template <class query_type>
void operator_service::SendQuery(formatter format, http::responder respond) {
  next_id_ += 1;
  if (!queries_.TrySend(query_type{next_id_})) {
    respond(ErrorResponse(kUnavailable, "internal_queue_full"));
    return;
  }
  pending_[next_id_] = {std::move(format), std::move(respond)};
}

void operator_service::Handle(const http::request& http_request,
                              http::responder respond) {
  const bool get = http_request.method == "GET";
  if (get && http_request.target == "/v1/health") {
    http::response answer;
    answer.body = R"({"healthy":true})";
    respond(std::move(answer));
  } else if (get && http_request.target == "/v1/metrics") {
    http::response answer;
    answer.content_type = "text/plain; version=0.0.4";
    answer.body = metrics_.Text();
    respond(std::move(answer));
  } else if (get && http_request.target == "/v1/ready") {
    SendQuery<status_query>(FormatReady, std::move(respond));
  } else if (get && http_request.target == "/v1/status") {
    SendQuery<status_query>(FormatStatus, std::move(respond));
  } else if (get && http_request.target == "/v1/routing") {
    SendQuery<status_query>(FormatRouting, std::move(respond));
  } else if (http_request.method == "POST" &&
             http_request.target == "/v1/drain") {
    SendQuery<drain_query>(FormatStatus, std::move(respond));
  } else {
    respond(ErrorResponse(404, "no_such_resource"));
  }
}

void operator_service::OnStatusAnswer(const status_answer& answer) {
  const auto found = pending_.find(answer.id);
  if (found == pending_.end()) {
    return;
  }
  const pending_query pending = std::move(found->second);
  pending_.erase(found);
  pending.respond(pending.format(*answer.status));
}

}  // namespace plantaintiller::operators
