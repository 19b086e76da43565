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

std::string Rest(const std::string& target, const std::string& prefix) {
  return target.substr(prefix.size());
}

http::response RowAnswer(int status, const table_row& row) {
  http::response answer;
  answer.status = status;
  answer.body = R"({"version":)" + std::to_string(row.version) +
                R"(,"value":)" + row.value + "}";
  return answer;
}

}  // namespace

platform_service::platform_service(boost::asio::io_context& context)
    : context_(context) {}

void platform_service::Handle(const http::request& asked,
                              http::responder respond) {
  const bool about_faults = asked.target == "/v1/faults";
  if (down_ && !about_faults) {
    respond(Failure(503, "down"));
    return;
  }
  http::response answer = Answer(asked);
  if (!about_faults && lose_answers_ > 0) {
    lose_answers_ -= 1;
    answer = Failure(504, "answer_lost");
  }
  if (about_faults || delay_ == core::milliseconds(0)) {
    respond(std::move(answer));
    return;
  }
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, delay_);
  timer->async_wait([timer, answer = std::move(answer),
                     respond = std::move(respond)](auto) { respond(answer); });
}

http::response platform_service::Answer(const http::request& asked) {
  const std::string rows = "/v1/rows/";
  const std::string objects = "/v1/objects/";
  const std::string instances = "/v1/instances";
  if (asked.target.starts_with(rows)) {
    return AnswerRow(asked, Rest(asked.target, rows));
  }
  if (asked.target.starts_with(objects)) {
    return AnswerObject(asked, Rest(asked.target, objects));
  }
  if (asked.target == instances || asked.target.starts_with(instances + "/")) {
    const bool whole = asked.target == instances;
    return AnswerInstances(
        asked, whole ? std::string() : Rest(asked.target, instances + "/"));
  }
  if (asked.target == "/v1/faults" && asked.method == "PUT") {
    return SetFaults(asked.body);
  }
  return Failure(404, "not_found");
}

http::response platform_service::AnswerRow(const http::request& asked,
                                           const std::string& key) {
  if (asked.method == "GET") {
    const std::optional<table_row> row = table_.Read(key);
    return row.has_value() ? RowAnswer(200, *row) : Failure(404, "not_found");
  }
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(asked.body, error);
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
  const bool written =
      table_.Swap(key, expected, boost::json::serialize(fields.at("value")));
  const std::optional<table_row> row = table_.Read(key);
  if (!row.has_value()) {
    return Failure(404, "not_found");
  }
  return RowAnswer(written ? 200 : 409, *row);
}

http::response platform_service::AnswerObject(const http::request& asked,
                                              const std::string& name) {
  http::response answer;
  if (asked.method == "PUT") {
    objects_[name] = asked.body;
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

http::response platform_service::AnswerInstances(const http::request& asked,
                                                 const std::string& id) {
  http::response answer;
  if (asked.method == "GET") {
    std::string list;
    for (const auto& [key, entry] : instances_) {
      list += (list.empty() ? "" : ",") + entry;
    }
    answer.body = R"({"instances":[)" + list + "]}";
    return answer;
  }
  if (asked.method == "PUT") {
    instances_[id] = asked.body;
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
