#include "plantaintiller/gateway/refusal_report.h"

#include <chrono>

namespace plantaintiller::gateway {

void ReportRefusals(caller_environment& environment,
                    const std::string& database,
                    sessions::session_ending& ending) {
  const char* code = sessions::FailureName(ending.Code());
  for (const std::string& request : ending.TakeRefused()) {
    log_line(environment.Log(), "router", "refuse")
        .With("request", request)
        .With("database", database)
        .With("detail", std::string(code) + " " + ending.Reason());
    environment.Metrics().OnAnswer(nullptr, false, core::duration(0), code);
  }
}

void ReportDropped(caller_environment& environment,
                   const std::string& database,
                   core::duration since,
                   std::string input) {
  using std::chrono::microseconds;
  while (const auto message = environment.Callers().Take(input)) {
    if (message->kind != sessions::caller_message::message_kind::kStatement) {
      continue;
    }
    environment.Metrics().Count("requests_dropped");
    log_line(environment.Log(), "router", "dropped")
        .With("request", message->request.id)
        .With("database", database)
        .With("since_us",
              std::chrono::duration_cast<microseconds>(since).count());
  }
}

}  // namespace plantaintiller::gateway
