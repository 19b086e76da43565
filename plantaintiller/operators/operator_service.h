#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "plantaintiller/core/channel.h"
#include "plantaintiller/http/message.h"
#include "plantaintiller/metrics/registry.h"
#include "plantaintiller/operators/messages.h"

namespace plantaintiller::operators {

/// HTTP interface for operators, described in docs/OPERATORS.md. All methods
/// are called on the operators' thread.
class operator_service : public http::handler {
 public:
  operator_service(core::channel<query>& queries,
                   const metrics::registry& metrics);

  void Handle(const http::request& http_request,
              http::responder respond) override;
  /// Called when the decision thread has answered a query.
  void OnStatusAnswer(const status_answer& answer);

 private:
  using formatter = std::function<http::response(const instance_status&)>;
  struct pending_query {
    formatter format;
    http::responder respond;
  };
  template <class query_type>
  void SendQuery(formatter format, http::responder respond);

  core::channel<query>& queries_;
  const metrics::registry& metrics_;
  std::uint64_t next_id_ = 0;
  std::map<std::uint64_t, pending_query> pending_;
};

}  // namespace plantaintiller::operators
