#include "plantaintiller/standin/platform_service.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <memory>
#include <utility>

namespace plantaintiller::standin {

namespace {

http::response Failure(int status, const char* type) {
  http::response answer;
  answer.status = status;
  answer.body = boost::json::serialize(boost::json::object{{"error", type}});
  return answer;
}

std::string WithoutPrefix(const std::string& target,
                          const std::string& prefix) {
  return target.substr(prefix.size());
}

http::response RowResponse(int status, const table_row& row) {
  http::response answer;
  answer.status = status;
  answer.body = R"({"version":)" + std::to_string(row.version) +
                R"(,"value":)" + row.value + "}";
  return answer;
}

}  // namespace

platform_service::platform_service(boost::asio::io_context& context)
    : context_(context) {}

void platform_service::Handle(const http::request& request,
                              http::responder respond) {
  const bool is_fault_request = request.target == "/v1/faults";
  if (down_ && !is_fault_request) {
    respond(Failure(503, "down"));
    return;
  }
  http::response answer = Answer(request);
  if (!is_fault_request && lose_answers_ > 0) {
    lose_answers_ -= 1;
    answer = Failure(504, "answer_lost");
  }
  if (is_fault_request || delay_ == core::milliseconds(0)) {
    respond(std::move(answer));
    return;
  }
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, delay_);
  timer->async_wait([timer, answer = std::move(answer),
                     respond = std::move(respond)](auto) { respond(answer); });
}

http::response platform_service::Answer(const http::request& request) {
  const std::string rows = "/v1/rows/";
  const std::string objects = "/v1/objects/";
  const std::string instances = "/v1/instances";
  if (request.target.starts_with(rows)) {
    return AnswerRow(request, WithoutPrefix(request.target, rows));
  }
  if (request.target.starts_with(objects)) {
    return AnswerObject(request, WithoutPrefix(request.target, objects));
  }
  if (request.target == instances ||
      request.target.starts_with(instances + "/")) {
    const bool is_list = request.target == instances;
    return AnswerInstances(
        request, is_list ? std::string()
                         : WithoutPrefix(request.target, instances + "/"));
  }
  if (request.target == "/v1/faults" && request.method == "PUT") {
    return SetFaults(request.body);
  }
  return Failure(404, "not_found");
}

http::response platform_service::AnswerRow(const http::request& request,
                                           const std::string& key) {
  if (request.method == "GET") {
    const std::optional<table_row> row = table_.Read(key);
    return row.has_value() ? RowResponse(200, *row) : Failure(404, "not_found");
  }
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(request.body, error);
  if (error || !body.is_object() ||
      !body.get_object().contains("expected_version") ||
      !body.get_object().contains("value")) {
    return Failure(400, "bad_request");
  }
  const boost::json::object& fields = body.get_object();
  const auto expected =
      fields.at("expected_version").to_number<std::uint64_t>(error);
  if (error) {
    return Failure(400, "bad_request");
  }
  const bool written = table_.CompareAndSet(
      key, expected, boost::json::serialize(fields.at("value")));
  const std::optional<table_row> row = table_.Read(key);
  if (!row.has_value()) {
    return Failure(404, "not_found");
  }
  return RowResponse(written ? 200 : 409, *row);
}

http::response platform_service::AnswerObject(const http::request& request,
                                              const std::string& name) {
  http::response answer;
  if (request.method == "PUT") {
    objects_[name] = request.body;
    answer.body = "{}";
    return answer;
  }
  const auto found = objects_.find(name);
  if (found == objects_.end()) {
    return Failure(404, "not_found");
  }
  answer.body = found->second;
  return answer;
}

http::response platform_service::AnswerInstances(const http::request& request,
                                                 const std::string& id) {
  http::response answer;
  if (request.method == "GET") {
    std::string list;
    for (const auto& [key, entry] : instances_) {
      list += (list.empty() ? "" : ",") + entry;
    }
    answer.body = R"({"instances":[)" + list + "]}";
    return answer;
  }
  if (request.method == "PUT") {
    instances_[id] = request.body;
  } else {
    instances_.erase(id);
  }
  answer.body = "{}";
  return answer;
}

http::response platform_service::SetFaults(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error);
  if (error || !parsed.is_object()) {
    return Failure(400, "bad_request");
  }
  const boost::json::object& fields = parsed.get_object();
  if (const auto* down = fields.if_contains("down"); down && down->is_bool()) {
    down_ = down->get_bool();
  }
  if (const auto* delay = fields.if_contains("delay_ms");
      delay && delay->is_int64()) {
    delay_ = core::milliseconds(delay->get_int64());
  }
  if (const auto* lose = fields.if_contains("lose_answers");
      lose && lose->is_int64()) {
    lose_answers_ = lose->get_int64();
  }
  http::response answer;
  answer.body = "{}";
  return answer;
}

}  // namespace plantaintiller::standin
