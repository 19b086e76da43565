#include "plantaintiller/gateway/access_log.h"

#include "plantaintiller/accounts/key_digest.h"
#include "plantaintiller/core/error.h"
#include "plantaintiller/gateway/event_log.h"
#include "plantaintiller/gateway/statement_metrics.h"

namespace plantaintiller::gateway {

namespace {

constexpr core::milliseconds kLinePause{1000};
/// Limit on lines about the invalid parts of one configuration.
constexpr std::size_t kMaxLeftOutLines = 16;

}  // namespace

access_log::access_log(event_log& log, statement_metrics& metrics)
    : log_(log), metrics_(metrics) {}

void access_log::OnRefused(const accounts::caller_identity& identity,
                           accounts::access reason,
                           const std::string& database,
                           core::time_point now) {
  metrics_.Count(reason == accounts::access::kWithdrawnKey
                     ? "sessions_refused_withdrawn_key"
                     : "sessions_refused_unknown_key");
  if (now < next_line_at_) {
    lines_left_out_ += 1;
    return;
  }
  next_line_at_ = now + kLinePause;
  log_line(log_, "accounts", "refused")
      .With("account", identity.account)
      .With("key", accounts::DigestPrefix(identity.key_digest))
      .With("database", database)
      .With("detail", accounts::AccessName(reason))
      .With("lines_left_out", lines_left_out_);
  lines_left_out_ = 0;
}

void access_log::OnConfiguration(const core::route_table& routes) {
  if (routes.requires_account) {
    metrics_.Set("client_accounts", routes.accounts.size());
    log_line(log_, "accounts", "adopt")
        .With("version", static_cast<std::int64_t>(routes.version))
        .With("accounts", static_cast<std::int64_t>(routes.accounts.size()))
        .With("left_out", static_cast<std::int64_t>(routes.left_out.size()));
  }
  for (std::size_t n = 0; n < routes.left_out.size() && n < kMaxLeftOutLines;
       ++n) {
    const core::error& each = routes.left_out[n];
    log_line(log_, "configuration", core::ErrorName(each.type))
        .With("part", each.subject)
        .With("detail", each.detail);
  }
}

}  // namespace plantaintiller::gateway
