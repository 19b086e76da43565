#include "plantaintiller/model/model_session.h"

#include <utility>

namespace plantaintiller::model {

using core::access_kind;
using core::statement_kind;

namespace {
/// Time that a caller waits for an answer beyond its request's deadline.
constexpr core::duration kAnswerWaitMargin = std::chrono::milliseconds(700);
constexpr core::duration kRetryPause = std::chrono::milliseconds(30);
constexpr int kMaxTries = 6;
constexpr int kTransactionStatements = 2;
}  // namespace

model_session::model_session(std::uint32_t number,
                             session_environment environment,
                             session_counts& counts,
                             std::uint64_t seed)
    : number_(number),
      environment_(environment),
      counts_(counts),
      random_(seed),
      node_(node_id::Caller(number)) {}

double model_session::Draw() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random_);
}

void model_session::Start(core::time_point end) {
  end_ = end;
  instance_ = random_() % environment_.instances.size();
  ScheduleNextRequest();
}

void model_session::ScheduleNextRequest() {
  request_.reset();
  const double mean = static_cast<double>(environment_.load.think_time.count());
  std::exponential_distribution<double> pause(1.0 / mean);
  const auto micros = static_cast<std::int64_t>(pause(random_) * 1000.0);
  environment_.queue.ScheduleAfter(std::chrono::microseconds(micros),
                                   [this] { StartNextRequest(); });
}

void model_session::StartNextRequest() {
  if (environment_.queue.Now() >= end_) {
    return;
  }
  if (transaction_.has_value()) {
    ContinueTransaction();
    return;
  }
  const core::database_id database{static_cast<std::uint32_t>(
      1 + random_() % static_cast<std::uint64_t>(environment_.databases))};
  const double kind = Draw();
  if (kind < environment_.load.transaction_share) {
    StartTransaction(database);
  } else if (kind < environment_.load.transaction_share +
                        environment_.load.write_share) {
    StartWrite(database);
  } else {
    StartRead(database);
  }
}

core::statement model_session::NewStatement(core::database_id database,
                                            statement_kind kind,
                                            access_kind access,
                                            request_number transaction) {
  environment_.last_request += 1;
  const auto body = std::make_shared<model_body>();
  body->request = environment_.last_request;
  body->transaction = transaction;
  core::statement work;
  work.kind = kind;
  work.database = database;
  work.access = access;
  work.token = token_.PositionOf(database);
  work.arrived = core::time_point();
  work.deadline = work.arrived + environment_.load.deadline;
  work.has_key =
      access == access_kind::kWrite &&
      (kind == statement_kind::kRun || kind == statement_kind::kCommit);
  work.key = {1, body->request};
  work.fingerprint = body->request;
  work.body = body;
  return work;
}

void model_session::StartRead(core::database_id database) {
  core::statement work =
      NewStatement(database, statement_kind::kRun, access_kind::kRead, 0);
  const auto& allowed = environment_.load.staleness;
  work.max_staleness = allowed[random_() % allowed.size()];
  work.priority = work.max_staleness > core::milliseconds(0)
                      ? core::request_class::kStale
                      : core::request_class::kFresh;
  Send(std::move(work));
}

void model_session::StartWrite(core::database_id database) {
  Send(NewStatement(database, statement_kind::kRun, access_kind::kWrite, 0));
}

void model_session::StartTransaction(core::database_id database) {
  core::statement work =
      NewStatement(database, statement_kind::kBegin, access_kind::kWrite, 0);
  const auto body = std::make_shared<model_body>(BodyOf(work));
  body->transaction = body->request;
  work.body = body;
  transaction_ =
      open_transaction{body->request, {}, database, kTransactionStatements};
  Send(std::move(work));
}

void model_session::ContinueTransaction() {
  const bool commit = transaction_->statements_left == 0;
  transaction_->statements_left -= 1;
  core::statement work = NewStatement(
      transaction_->database,
      commit ? statement_kind::kCommit : statement_kind::kInTransaction,
      access_kind::kWrite, transaction_->name);
  work.transaction = transaction_->id;
  Send(std::move(work));
}

model_instance& model_session::PickInstance(bool another) {
  if (another || Draw() < environment_.load.switch_instance_probability) {
    instance_ = random_() % environment_.instances.size();
  }
  return *environment_.instances[instance_];
}

void model_session::Send(core::statement work) {
  open_request request;
  request.number = BodyOf(work).request;
  request.work = std::move(work);
  request_ = std::move(request);
  counts_.requests += 1;
  SendCurrentRequest();
}

void model_session::SendCurrentRequest() {
  request_->tries += 1;
  last_send_number_ += 1;
  const std::uint64_t send_number = last_send_number_;
  request_->send_number = send_number;
  model_instance& instance = PickInstance(request_->tries > 1);
  environment_.net.Send(
      node_, instance.Node(),
      [this, send_number, work = request_->work, &instance] {
        instance.OnCallerStatement(
            work, [this, send_number, &instance](
                      const core::statement& received,
                      const core::statement_outcome& outcome) {
              environment_.net.Send(instance.Node(), node_,
                                    [this, send_number, received, outcome] {
                                      OnAnswer(send_number, received, outcome);
                                    });
            });
      },
      [this, send_number] { OnNoAnswer(send_number, true); });
  environment_.queue.ScheduleAfter(
      environment_.load.deadline + kAnswerWaitMargin,
      [this, send_number] { OnNoAnswer(send_number, false); });
}

void model_session::OnNoAnswer(std::uint64_t send_number, bool not_sent) {
  if (!request_.has_value() || request_->send_number != send_number) {
    return;
  }
  core::statement& work = request_->work;
  const bool has_key = work.has_key;
  if (!not_sent && has_key) {
    work.repeated = true;
  }
  const bool retry = (not_sent || has_key) && request_->tries < kMaxTries;
  if (!retry) {
    counts_.abandoned += 1;
    transaction_.reset();
    ScheduleNextRequest();
    return;
  }
  request_->send_number = 0;
  environment_.queue.ScheduleAfter(
      kRetryPause, [this, number = request_->number] {
        if (request_.has_value() && request_->number == number) {
          SendCurrentRequest();
        }
      });
}

void model_session::OnAnswer(std::uint64_t send_number,
                             const core::statement& work,
                             const core::statement_outcome& outcome) {
  if (!request_.has_value() || request_->send_number != send_number) {
    return;
  }
  if (outcome.Succeeded()) {
    OnDone(work, outcome);
    ScheduleNextRequest();
    return;
  }
  OnRefused(work, outcome);
}

void model_session::OnRefused(const core::statement& work,
                              const core::statement_outcome& outcome) {
  const bool unknown = outcome.effect == core::effect_state::kOutcomeUnknown;
  if (unknown && work.has_key) {
    counts_.unknown += 1;
    OnNoAnswer(request_->send_number, false);
    return;
  }
  environment_.checker.OnRefused(work, outcome, environment_.queue.Now());
  counts_.refused += 1;
  transaction_.reset();
  ScheduleNextRequest();
}

void model_session::OnDone(const core::statement& work,
                           const core::statement_outcome& outcome) {
  const bool read =
      work.kind == statement_kind::kRun && work.access == access_kind::kRead;
  if (work.kind == statement_kind::kBegin) {
    transaction_->id = outcome.transaction;
    return;
  }
  if (work.kind == statement_kind::kInTransaction) {
    return;
  }
  if (read) {
    std::vector<request_number>& last = last_seen_[work.database];
    environment_.checker.OnRead({number_, &own_writes_[work.database], &last},
                                work, outcome, environment_.queue.Now());
    last = static_cast<const model_result&>(*outcome.result).seen;
  } else {
    counts_.writes_done += 1;
    own_writes_[work.database].push_back(BodyOf(work).request);
    transaction_.reset();
  }
  token_.Raise(work.database, outcome.position);
}

}  // namespace plantaintiller::model
