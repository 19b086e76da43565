#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "plantaintiller/callers/messages.h"
#include "plantaintiller/callers/statement_codec.h"
#include "plantaintiller/core/channel.h"
#include "plantaintiller/http/message.h"
#include "plantaintiller/metrics/registry.h"

namespace plantaintiller::callers {

/// HTTP interface for callers, described in docs/CALLERS.md. All methods are
/// called on the callers' thread.
class caller_service : public http::handler {
 public:
  /// @param statements channel to the decision thread.
  /// @param seed of the request ids generated for writes that have none.
  caller_service(core::channel<statement_event>& statements,
                 metrics::registry& metrics,
                 std::uint64_t seed);

  void Handle(const http::request& http_request,
              http::responder respond) override;
  /// Executes one command of the decision thread.
  void Execute(const command& next_command);
  /// Number of requests that have not been answered yet.
  std::size_t PendingRequests() const { return pending_.size(); }

 private:
  struct pending_request {
    caller_request request;
    http::responder respond;
  };
  struct route {
    core::statement_kind kind = core::statement_kind::kRun;
    core::transaction_id transaction;
  };

  static boost::leaf::result<route> RouteOf(const http::request& http_request);
  void Execute(const answer_command& answer);
  void Execute(const configuration_command& update);
  void Submit(caller_request request, http::responder respond);
  std::string GenerateRequestId();

  core::channel<statement_event>& statements_;
  metrics::registry& metrics_;
  std::mt19937_64 random_;
  std::shared_ptr<const core::configuration> configuration_;
  std::uint64_t next_ticket_ = 0;
  std::map<std::uint64_t, pending_request> pending_;
};

}  // namespace plantaintiller::callers
