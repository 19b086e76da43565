#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/http/message.h"
#include "plantaintiller/standin/platform_table.h"

namespace plantaintiller::standin {

/// HTTP interface of the stand-in platform: table, object store, list of
/// instances, and injection of outages, delays and lost answers.
///
///     GET, PUT /v1/rows/KEY        PUT: {"expected_version": N, "value": ...}
///     GET, PUT /v1/objects/NAME
///     GET /v1/instances            PUT, DELETE /v1/instances/ID
///     PUT /v1/faults               {"down": B, "delay_ms": N, "lose_answers":
///     N}
class platform_service : public http::handler {
 public:
  explicit platform_service(boost::asio::io_context& context);

  void Handle(const http::request& request, http::responder respond) override;

 private:
  http::response Answer(const http::request& request);
  http::response AnswerRow(const http::request& request,
                           const std::string& key);
  http::response AnswerObject(const http::request& request,
                              const std::string& name);
  http::response AnswerInstances(const http::request& request,
                                 const std::string& id);
  http::response SetFaults(const std::string& body);

  boost::asio::io_context& context_;
  platform_table table_;
  std::map<std::string, std::string> objects_;
  std::map<std::string, std::string> instances_;
  bool down_ = false;
  core::milliseconds delay_{0};
  // Number of answers still to be dropped after their requests have taken
  // effect.
  std::int64_t lose_answers_ = 0;
};

}  // namespace plantaintiller::standin
