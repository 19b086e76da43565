#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "plantaintiller/core/session_token.h"
#include "plantaintiller/model/history_checker.h"
#include "plantaintiller/model/model_instance.h"
#include "plantaintiller/model/world_settings.h"

namespace plantaintiller::model {

/// Simulated components and state that all sessions share.
struct session_environment {
  event_queue& queue;
  network& net;
  history_checker& checker;
  std::vector<std::unique_ptr<model_instance>>& instances;
  const load_settings& load;
  int databases = 1;
  /// Last request number assigned.
  request_number& last_request;
};

/// Numbers of requests over all sessions, in total and by outcome.
struct session_counts {
  std::uint64_t requests = 0;
  std::uint64_t writes_done = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t abandoned = 0;
};

/// Simulates a caller's session. It sends reads, writes and transactions with
/// its session token, one request at a time, and may change the instance each
/// time.
class model_session {
 public:
  model_session(std::uint32_t number,
                session_environment environment,
                session_counts& counts,
                std::uint64_t seed);

  /// Starts the session. @param end when the session stops sending new
  /// requests.
  void Start(core::time_point end);

 private:
  struct open_request {
    core::statement work;
    request_number number = 0;
    int tries = 0;
    std::uint64_t send_number = 0;
  };
  struct open_transaction {
    request_number name = 0;
    core::transaction_id id;
    core::database_id database;
    int statements_left = 0;
  };

  void StartNextRequest();
  void ScheduleNextRequest();
  void StartRead(core::database_id database);
  void StartWrite(core::database_id database);
  void StartTransaction(core::database_id database);
  void ContinueTransaction();
  core::statement NewStatement(core::database_id database,
                               core::statement_kind kind,
                               core::access_kind access,
                               request_number transaction);
  void Send(core::statement work);
  void SendCurrentRequest();
  void OnAnswer(std::uint64_t send_number,
                const core::statement& work,
                const core::statement_outcome& outcome);
  void OnNoAnswer(std::uint64_t send_number, bool not_sent);
  void OnRefused(const core::statement& work,
                 const core::statement_outcome& outcome);
  void OnDone(const core::statement& work,
              const core::statement_outcome& outcome);
  model_instance& PickInstance(bool another);
  double Draw();

  std::uint32_t number_;
  session_environment environment_;
  session_counts& counts_;
  std::mt19937_64 random_;
  node_id node_;
  core::time_point end_;
  std::size_t instance_ = 0;
  core::session_token token_;
  std::map<core::database_id, std::vector<request_number>> own_writes_;
  std::map<core::database_id, std::vector<request_number>> last_seen_;
  std::optional<open_request> request_;
  std::optional<open_transaction> transaction_;
  std::uint64_t last_send_number_ = 0;
};

}  // namespace plantaintiller::model
