#include "plantaintiller/callers/caller_service.h"

#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <cinttypes>
#include <cstdio>
#include <optional>
#include <string_view>
#include <utility>

namespace plantaintiller::callers {

namespace {

constexpr std::string_view kStatementsPath = "/v1/statements";
constexpr std::string_view kTransactionsPath = "/v1/transactions";
constexpr core::milliseconds kNotReadyRetryDelay{500};
constexpr core::milliseconds kQueueFullRetryDelay{50};

}  // namespace

caller_service::caller_service(core::channel<statement_event>& statements,
                               metrics::registry& metrics,
                               std::uint64_t seed)
    : statements_(statements), metrics_(metrics), random_(seed) {}

boost::leaf::result<caller_service::route> caller_service::RouteOf(
    const http::request& http_request) {
  const std::string_view target = http_request.target;
  if (http_request.method != "POST") {
    return boost::leaf::new_error(request_error{core::refusal_type::kBadRequest,
                                                "method", "expected POST"});
  }
  if (target == kStatementsPath) {
    return route{core::statement_kind::kRun, {}};
  }
  if (target == kTransactionsPath) {
    return route{core::statement_kind::kBegin, {}};
  }
  if (target.starts_with(kTransactionsPath) &&
      target.substr(kTransactionsPath.size()).starts_with('/')) {
    const std::string_view rest = target.substr(kTransactionsPath.size() + 1);
    const std::size_t slash = rest.find('/');
    const std::string_view verb =
        slash == std::string_view::npos ? "" : rest.substr(slash + 1);
    BOOST_LEAF_AUTO(transaction,
                    ParseTransactionName(std::string(rest.substr(0, slash))));
    if (verb == "statements") {
      return route{core::statement_kind::kInTransaction, transaction};
    }
    if (verb == "commit") {
      return route{core::statement_kind::kCommit, transaction};
    }
    if (verb == "rollback") {
      return route{core::statement_kind::kRollback, transaction};
    }
  }
  return boost::leaf::new_error(request_error{core::refusal_type::kBadRequest,
                                              "path", "no such resource"});
}

std::string caller_service::GenerateRequestId() {
  std::array<char, 40> text{};
  const std::uint64_t high = random_();
  const std::uint64_t low = random_();
  std::snprintf(text.data(), text.size(), "g-%016" PRIx64 "%016" PRIx64, high,
                low);
  return text.data();
}

void caller_service::Handle(const http::request& http_request,
                            http::responder respond) {
  if (configuration_ == nullptr) {
    caller_request empty_request;
    respond(FormatOutcome(empty_request, Refuse(core::refusal_type::kNotReady,
                                                core::effect_state::kNotRun,
                                                kNotReadyRetryDelay)));
    return;
  }
  std::optional<caller_request> request;
  const std::shared_ptr<const core::configuration> configuration =
      configuration_;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(path, RouteOf(http_request));
        BOOST_LEAF_ASSIGN(
            request, ParseRequest(http_request.body, path.kind, *configuration,
                                  GenerateRequestId(), core::clock::now()));
        request->work.transaction = path.transaction;
        return {};
      },
      [&](const request_error& error) { respond(FormatRequestError(error)); },
      [&] { respond(FormatRequestError({})); });
  if (request.has_value()) {
    Submit(std::move(*request), std::move(respond));
  }
}

void caller_service::Submit(caller_request request, http::responder respond) {
  next_ticket_ += 1;
  if (!statements_.TrySend({next_ticket_, request.work})) {
    respond(FormatOutcome(
        request, Refuse(core::refusal_type::kInternalQueueFull,
                        core::effect_state::kNotRun, kQueueFullRetryDelay)));
    return;
  }
  pending_.emplace(next_ticket_,
                   pending_request{std::move(request), std::move(respond)});
}

void caller_service::Execute(const command& next_command) {
  std::visit([this](const auto& each) { Execute(each); }, next_command);
}

void caller_service::Execute(const configuration_command& update) {
  configuration_ = update.configuration;
}

void caller_service::Execute(const answer_command& answer) {
  const auto found = pending_.find(answer.ticket);
  if (found == pending_.end()) {
    return;
  }
  const pending_request answered = std::move(found->second);
  pending_.erase(found);
  metrics_.OnAnswer(answered.request.work, answer.outcome,
                    core::clock::now() - answered.request.work.arrived,
                    answer.outcome.at_primary);
  answered.respond(FormatOutcome(answered.request, answer.outcome));
}

}  // namespace plantaintiller::callers
