#pragma once

#include <cstdint>
#include <string>

#include "plantaintiller/accounts/session_access.h"
#include "plantaintiller/core/route.h"
#include "plantaintiller/core/time.h"

namespace plantaintiller::gateway {

class event_log;
class statement_metrics;

/// Records refused callers and the accounts of adopted configurations in the
/// log and the metrics. Keys are never recorded, only the first digits of their
/// digests.
class access_log {
 public:
  /// References must outlive the object.
  access_log(event_log& log, statement_metrics& metrics);

  /// Records a refused session. Callers may present wrong keys at any rate, so
  /// at most one line a second is written, with the number of those left out.
  void OnRefused(const accounts::caller_identity& identity,
                 accounts::access reason,
                 const std::string& database,
                 core::time_point now);
  /// Records the number of accounts and the parts of a configuration that were
  /// left out.
  void OnConfiguration(const core::route_table& routes);

 private:
  event_log& log_;
  statement_metrics& metrics_;
  core::time_point next_line_at_;
  std::int64_t lines_left_out_ = 0;
};

}  // namespace plantaintiller::gateway
