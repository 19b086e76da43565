#include "plantaintiller/backends/connection.h"

#include <libpq-fe.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <cstring>
#include <utility>

namespace plantaintiller::backends {

namespace {

constexpr const char* kTooManyConnectionsState = "53300";
// libpq reports the reason only as text, here in the C locale's wording.
constexpr const char* kRefusedText = "Connection refused";
constexpr const char* kTooManyConnectionsText = "too many connections";

struct result_deleter {
  void operator()(PGresult* result) const { PQclear(result); }
};
using result_handle = std::unique_ptr<PGresult, result_deleter>;

struct connection_deleter {
  void operator()(PGconn* handle) const { PQfinish(handle); }
};
using connection_handle = std::unique_ptr<PGconn, connection_deleter>;

void CopyRows(const PGresult* from, step_result& to) {
  const int columns = PQnfields(from);
  const int rows = PQntuples(from);
  for (int column = 0; column < columns; ++column) {
    to.columns.emplace_back(PQfname(from, column));
  }
  to.rows.resize(static_cast<std::size_t>(rows));
  for (int row = 0; row < rows; ++row) {
    auto& cells = to.rows[static_cast<std::size_t>(row)];
    for (int column = 0; column < columns; ++column) {
      if (PQgetisnull(from, row, column) != 0) {
        cells.emplace_back(std::nullopt);
        continue;
      }
      const auto length =
          static_cast<std::size_t>(PQgetlength(from, row, column));
      cells.emplace_back(std::string(PQgetvalue(from, row, column), length));
    }
  }
}

step_result Convert(PGresult* from) {
  step_result to;
  switch (PQresultStatus(from)) {
    case PGRES_COMMAND_OK:
    case PGRES_TUPLES_OK:
      to.status = step_status::kDone;
      CopyRows(from, to);
      to.affected_rows = std::strtoull(PQcmdTuples(from), nullptr, 10);
      break;
    case PGRES_PIPELINE_ABORTED:
      to.status = step_status::kSkipped;
      break;
    default: {
      to.status = step_status::kFailed;
      const char* state = PQresultErrorField(from, PG_DIAG_SQLSTATE);
      const char* text = PQresultErrorField(from, PG_DIAG_MESSAGE_PRIMARY);
      to.sqlstate = state == nullptr ? "" : state;
      to.message = text == nullptr ? "" : text;
      break;
    }
  }
  return to;
}

}  // namespace

class connection::implementation
    : public std::enable_shared_from_this<connection::implementation> {
 public:
  implementation(boost::asio::io_context& context, server_address address)
      : context_(context), address_(std::move(address)) {}

  void Run(std::vector<batch_step> steps, batch_callback done) {
    steps_ = std::move(steps);
    done_ = std::move(done);
    result_ = {};
    if (handle_ != nullptr) {
      SendBatch();
      return;
    }
    StartConnecting();
  }

  void Close() {
    done_ = nullptr;
    Disconnect();
  }

  bool IsBusy() const { return done_ != nullptr; }

 private:
  using descriptor = boost::asio::posix::stream_descriptor;

  void StartConnecting() {
    const std::string settings =
        "hostaddr=" + address_.host + " port=" + std::to_string(address_.port) +
        " dbname=plantaintiller user=" + address_.role +
        " sslmode=disable"
        // Detects dead connections: the kernel closes one whose data or
        // keep-alive probes remain unacknowledged. Times are in seconds, except
        // tcp_user_timeout in milliseconds.
        " keepalives_idle=1 keepalives_interval=1 keepalives_count=2"
        " tcp_user_timeout=700"
        " gssencmode=disable client_encoding=UTF8";
    handle_.reset(PQconnectStart(settings.c_str()));
    if (handle_ == nullptr || PQstatus(handle_.get()) == CONNECTION_BAD) {
      FinishLater(batch_status::kNotSent);
      return;
    }
    WaitToConnect(PGRES_POLLING_WRITING);
  }

  void WaitToConnect(PostgresPollingStatusType direction) {
    // libpq may use a new socket for each connection attempt.
    if (socket_.has_value()) {
      socket_->release();
    }
    socket_.emplace(context_, PQsocket(handle_.get()));
    const auto wait = direction == PGRES_POLLING_READING
                          ? descriptor::wait_read
                          : descriptor::wait_write;
    Wait(wait, [](implementation& self) { self.ContinueConnecting(); });
  }

  void ContinueConnecting() {
    const PostgresPollingStatusType next = PQconnectPoll(handle_.get());
    switch (next) {
      case PGRES_POLLING_OK:
        PQsetnonblocking(handle_.get(), 1);
        PQenterPipelineMode(handle_.get());
        SendBatch();
        return;
      case PGRES_POLLING_READING:
      case PGRES_POLLING_WRITING:
        WaitToConnect(next);
        return;
      default:
        Finish(ConnectFailureStatus());
        return;
    }
  }

  batch_status ConnectFailureStatus() const {
    const char* text = PQerrorMessage(handle_.get());
    const bool too_many =
        std::strstr(text, kTooManyConnectionsText) != nullptr ||
        std::strstr(text, kTooManyConnectionsState) != nullptr;
    if (too_many) {
      return batch_status::kTooManyConnections;
    }
    const bool refused = std::strstr(text, kRefusedText) != nullptr;
    return refused ? batch_status::kRefused : batch_status::kNotSent;
  }

  void SendBatch() {
    for (const batch_step& step : steps_) {
      std::vector<const char*> values;
      values.reserve(step.params.size());
      for (const std::optional<std::string>& param : step.params) {
        values.push_back(param.has_value() ? param->c_str() : nullptr);
      }
      const int queued = PQsendQueryParams(
          handle_.get(), step.sql.c_str(), static_cast<int>(values.size()),
          nullptr, values.data(), nullptr, nullptr, 0);
      if (queued == 0 ||
          (step.sync_after && PQpipelineSync(handle_.get()) == 0)) {
        FinishLater(batch_status::kLost);
        return;
      }
    }
    Flush();
  }

  void Flush() {
    const int flush_status = PQflush(handle_.get());
    if (flush_status < 0) {
      FinishLater(batch_status::kLost);
      return;
    }
    if (flush_status > 0) {
      Wait(descriptor::wait_write, [](implementation& self) { self.Flush(); });
      // Waits without reading answers. Both ends could block on full buffers if
      // answers were large; they are small compared with the socket buffers.
      return;
    }
    WaitForAnswer();
  }

  void WaitForAnswer() {
    Wait(descriptor::wait_read,
         [](implementation& self) { self.ReadAnswer(); });
  }

  void ReadAnswer() {
    if (PQconsumeInput(handle_.get()) == 0) {
      Finish(batch_status::kLost);
      return;
    }
    while (PQisBusy(handle_.get()) == 0) {
      if (!ReadResult()) {
        return;
      }
    }
    WaitForAnswer();
  }

  // Reads one result from libpq. Returns false once the batch has ended.
  bool ReadResult() {
    const result_handle result(PQgetResult(handle_.get()));
    if (result == nullptr) {
      // A null result ends one step's results; two in a row mean that libpq has
      // no results left.
      consecutive_null_results_ += 1;
      if (consecutive_null_results_ > 1) {
        Finish(batch_status::kLost);
        return false;
      }
      return true;
    }
    consecutive_null_results_ = 0;
    if (PQstatus(handle_.get()) == CONNECTION_BAD) {
      Finish(batch_status::kLost);
      return false;
    }
    if (PQresultStatus(result.get()) == PGRES_PIPELINE_SYNC) {
      if (result_.steps.size() < steps_.size()) {
        return true;
      }
      Finish(batch_status::kAnswered);
      return false;
    }
    result_.steps.push_back(Convert(result.get()));
    return true;
  }

  template <class action>
  void Wait(descriptor::wait_type direction, action next) {
    const std::uint64_t generation = generation_;
    socket_->async_wait(direction,
                        [self = shared_from_this(), generation,
                         next](const boost::system::error_code& error) {
                          if (error || self->generation_ != generation) {
                            return;
                          }
                          next(*self);
                        });
  }

  void FinishLater(batch_status status) {
    const std::uint64_t generation = generation_;
    boost::asio::post(context_,
                      [self = shared_from_this(), generation, status] {
                        if (self->generation_ == generation) {
                          self->Finish(status);
                        }
                      });
  }

  void Finish(batch_status status) {
    result_.status = status;
    consecutive_null_results_ = 0;
    if (status != batch_status::kAnswered) {
      result_.steps.clear();
      Disconnect();
    }
    const batch_callback done = std::exchange(done_, nullptr);
    const batch_result result = std::exchange(result_, {});
    if (done) {
      done(result);
    }
  }

  void Disconnect() {
    generation_ += 1;
    if (socket_.has_value()) {
      // libpq owns the descriptor and closes it.
      socket_->release();
      socket_.reset();
    }
    handle_.reset();
  }

  boost::asio::io_context& context_;
  server_address address_;
  connection_handle handle_;
  std::optional<descriptor> socket_;
  // Incremented on disconnect, so that pending waits of the old connection are
  // ignored.
  std::uint64_t generation_ = 0;
  int consecutive_null_results_ = 0;
  std::vector<batch_step> steps_;
  batch_callback done_;
  batch_result result_;
};

connection::connection(boost::asio::io_context& context, server_address address)
    : implementation_(
          std::make_shared<implementation>(context, std::move(address))) {}

connection::~connection() {
  implementation_->Close();
}

void connection::Run(std::vector<batch_step> steps, batch_callback done) {
  implementation_->Run(std::move(steps), std::move(done));
}

bool connection::IsBusy() const {
  return implementation_->IsBusy();
}

}  // namespace plantaintiller::backends
