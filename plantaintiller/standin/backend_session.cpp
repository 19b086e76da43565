#include "plantaintiller/standin/backend_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <utility>

#include "plantaintiller/standin/backend_service.h"
#include "plantaintiller/standin/log_codec.h"

namespace plantaintiller::standin {

namespace {

constexpr std::uint32_t kSslRequestCode = 80877103;
constexpr std::uint32_t kGssRequestCode = 80877104;
constexpr std::string_view kFunctionPrefix = "SELECT * FROM plantaintiller_";
constexpr std::size_t kMaxEntriesPerFetch = 500;

const std::vector<std::string>& ColumnsOf(std::string_view function) {
  static const std::vector<std::string> state{"adopted_term", "entry_term",
                                              "position", "is_primary"};
  static const std::vector<std::string> log{"kind", "position", "entry_term",
                                            "content"};
  return function == "log" ? log : state;
}

std::string FunctionName(const std::string& sql) {
  if (!sql.starts_with(kFunctionPrefix)) {
    return "";
  }
  const std::string rest = sql.substr(kFunctionPrefix.size());
  const std::size_t end = rest.find('(');
  return end == std::string::npos ? "" : rest.substr(0, end);
}

}  // namespace

backend_session::backend_session(boost::asio::ip::tcp::socket socket,
                                 backend_service& service)
    : socket_(std::move(socket)),
      service_(service),
      wait_timer_(socket_.get_executor()) {}

backend_session::~backend_session() {
  service_.OnSessionEnded(this);
}

void backend_session::Start() {
  Read();
}

void backend_session::Read() {
  if (reading_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        self->reading_ = false;
        if (error) {
          self->closing_ = true;
          self->wait_timer_.cancel();
          self->service_.Node().Rollback(self.get());
          return;
        }
        self->input_.append(self->read_buffer_.data(), size);
        self->Process();
        self->Read();
      });
}

void backend_session::StopResponding() {
  silent_ = true;
  service_.Node().Rollback(this);
}

void backend_session::Close() {
  boost::system::error_code ignored;
  wait_timer_.cancel();
  socket_.close(ignored);
}

void backend_session::Resume() {
  if (pending_message_.has_value()) {
    Process();
  }
}

void backend_session::Process() {
  while (!closing_ && !silent_) {
    if (!pending_message_.has_value()) {
      pending_message_ = TakeMessage(input_, !started_);
      if (!pending_message_.has_value()) {
        break;
      }
    }
    if (!started_) {
      const wire_message message = std::move(*pending_message_);
      pending_message_.reset();
      if (!HandleStartup(message)) {
        closing_ = true;
      }
      continue;
    }
    if (HandleMessage(*pending_message_) == progress::kBlocked) {
      break;
    }
    pending_message_.reset();
  }
  Flush();
}

bool backend_session::HandleStartup(const wire_message& message) {
  wire_reader reader(message.body);
  const std::uint32_t code = reader.Int32();
  if (code == kSslRequestCode || code == kGssRequestCode) {
    output_.push_back('N');
    return true;
  }
  std::string name = reader.Text();
  while (!name.empty() && !reader.Failed()) {
    const std::string value = reader.Text();
    if (name == "user") {
      is_control_ = value == backends::kControlRole;
    }
    name = reader.Text();
  }
  started_ = true;
  if (!is_control_ && !service_.AcquireConnection(this)) {
    writer_.Error("53300", "sorry, too many connections already");
    output_ += writer_.Take();
    return false;
  }
  writer_.AuthenticationOk();
  writer_.ParameterStatus("server_version", "15.0");
  writer_.ParameterStatus("client_encoding", "UTF8");
  writer_.ParameterStatus("standard_conforming_strings", "on");
  writer_.ReadyForQuery('I');
  output_ += writer_.Take();
  return true;
}

backend_session::progress backend_session::HandleMessage(
    const wire_message& message) {
  if (message.type == 'X') {
    closing_ = true;
    service_.Node().Rollback(this);
    return progress::kDone;
  }
  if (message.type == 'S') {
    Sync();
    return progress::kDone;
  }
  if (skip_until_sync_) {
    return progress::kDone;
  }
  switch (message.type) {
    case 'P':
      Parse(message);
      return progress::kDone;
    case 'B':
      Bind(message);
      return progress::kDone;
    case 'D':
      Describe();
      return progress::kDone;
    case 'E':
      return Execute();
    default:
      return progress::kDone;
  }
}

void backend_session::Parse(const wire_message& message) {
  wire_reader reader(message.body);
  reader.Text();
  sql_ = reader.Text();
  writer_.ParseComplete();
}

void backend_session::Bind(const wire_message& message) {
  wire_reader reader(message.body);
  reader.Text();
  reader.Text();
  const std::uint16_t formats = reader.Int16();
  for (std::uint16_t n = 0; n < formats; ++n) {
    reader.Int16();
  }
  const std::uint16_t count = reader.Int16();
  params_.clear();
  for (std::uint16_t n = 0; n < count && !reader.Failed(); ++n) {
    const std::uint32_t size = reader.Int32();
    if (size == UINT32_MAX) {
      params_.emplace_back(std::nullopt);
    } else {
      params_.emplace_back(reader.Bytes(size));
    }
  }
  writer_.BindComplete();
}

void backend_session::Describe() {
  const std::string function = FunctionName(sql_);
  const std::vector<std::string> columns =
      function.empty() ? service_.Node().Describe(sql_) : ColumnsOf(function);
  if (columns.empty()) {
    writer_.NoData();
  } else {
    writer_.RowDescription(columns);
  }
}

backend_session::progress backend_session::Execute() {
  const std::string function = FunctionName(sql_);
  if (!function.empty()) {
    return RunFunction(function);
  }
  if (!service_.Node().MayRun(this)) {
    return progress::kBlocked;
  }
  if (!RunTransactionControl()) {
    RunStatement();
  }
  return progress::kDone;
}

bool backend_session::RunTransactionControl() {
  backend_node& node = service_.Node();
  if (sql_ == "BEGIN") {
    node.Begin(this);
    explicit_transaction_ = true;
  } else if (sql_ == "COMMIT") {
    explicit_transaction_ = false;
    if (!node.Commit(this)) {
      Fail("PT001", "superseded before commit");
      return true;
    }
  } else if (sql_ == "ROLLBACK") {
    explicit_transaction_ = false;
    node.Rollback(this);
  } else {
    return false;
  }
  writer_.CommandComplete(sql_);
  return true;
}

void backend_session::RunStatement() {
  backend_node& node = service_.Node();
  node.Begin(this);
  const sql_result result = node.Run(sql_, params_);
  if (result.failed) {
    Fail(result.sqlstate, result.message);
    return;
  }
  for (const std::vector<cell>& row : result.rows) {
    writer_.DataRow(row);
  }
  const std::string tag =
      result.is_write ? "INSERT 0 " + std::to_string(result.affected_rows)
                      : "SELECT " + std::to_string(result.rows.size());
  writer_.CommandComplete(tag);
}

void backend_session::Sync() {
  backend_node& node = service_.Node();
  if (skip_until_sync_ && !explicit_transaction_) {
    node.Rollback(this);
  } else if (!skip_until_sync_ && !explicit_transaction_ &&
             !node.Commit(this)) {
    Fail("PT001", "superseded before commit");
  }
  skip_until_sync_ = false;
  writer_.ReadyForQuery(explicit_transaction_ ? 'T' : 'I');
}

void backend_session::Fail(std::string_view sqlstate,
                           std::string_view message) {
  skip_until_sync_ = true;
  writer_.Error(sqlstate, message);
}

std::uint64_t backend_session::NumberParam(std::size_t param) const {
  const bool present = param < params_.size() && params_[param].has_value();
  return present ? std::strtoull(params_[param]->c_str(), nullptr, 10) : 0;
}

backend_session::progress backend_session::RunFunction(
    const std::string& name) {
  backend_node& node = service_.Node();
  if (name == "state") {
    return WaitForState();
  }
  if (name == "guard") {
    if (!node.MayRun(this)) {
      return progress::kBlocked;
    }
    if (!node.IsAdoptedTerm(NumberParam(0))) {
      Fail("PT001", "another term has been adopted");
      return progress::kDone;
    }
    node.Begin(this);
    SendState();
  } else if (name == "promote") {
    if (node.Promote(NumberParam(0))) {
      service_.StopFollowing();
      SendState();
    } else {
      Fail("PT002", "a later term has been adopted");
    }
  } else if (name == "follow") {
    const primary_address primary{params_[1].value_or(""),
                                  static_cast<std::uint16_t>(NumberParam(2))};
    if (node.Follow(NumberParam(0), primary)) {
      SendState();
    } else {
      Fail("PT002", "a later term has been adopted");
    }
  } else if (name == "log") {
    SendLog();
  } else if (name == "standin") {
    service_.SetFault(params_[0].value_or(""), NumberParam(1), this);
    SendState();
  } else {
    Fail("42883", "no such function");
  }
  return progress::kDone;
}

backend_session::progress backend_session::WaitForState() {
  const core::server_state state = service_.Node().State();
  const bool waits = state.adopted_term == NumberParam(0) &&
                     state.position.offset < NumberParam(1) && !wait_expired_ &&
                     NumberParam(2) > 0;
  if (!waits) {
    wait_timer_.cancel();
    wait_expired_ = false;
    wait_timer_armed_ = false;
    SendState();
    return progress::kDone;
  }
  if (!wait_timer_armed_) {
    wait_timer_armed_ = true;
    wait_timer_.expires_after(core::milliseconds(NumberParam(2)));
    wait_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error && self->wait_timer_armed_) {
            self->wait_expired_ = true;
            self->Resume();
          }
        });
  }
  return progress::kBlocked;
}

void backend_session::SendRows(const std::vector<std::vector<cell>>& rows) {
  for (const std::vector<cell>& row : rows) {
    writer_.DataRow(row);
  }
  writer_.CommandComplete("SELECT " + std::to_string(rows.size()));
}

void backend_session::SendState() {
  const core::server_state state = service_.Node().State();
  SendRows({{std::to_string(state.adopted_term),
             std::to_string(state.position.entry_term),
             std::to_string(state.position.offset),
             std::string(state.is_primary ? "1" : "0")}});
}

void backend_session::SendLog() {
  const replica_log<log_content>& log = service_.Node().Log();
  const core::server_state state = log.State();
  const core::term_number term = NumberParam(0);
  if (state.adopted_term != term || !state.is_primary) {
    Fail("PT001", "not the primary of this term");
    return;
  }
  const auto& entries = log.Entries();
  const std::uint64_t offset = NumberParam(1);
  const bool agrees =
      offset == 0 ||
      (offset <= entries.size() && entries[offset - 1].term == NumberParam(2));
  const std::size_t last_offset = std::min<std::size_t>(offset, entries.size());
  const core::term_number term_at_last_offset =
      last_offset == 0 ? 0 : entries[last_offset - 1].term;
  std::vector<std::vector<cell>> rows;
  rows.push_back({std::string(agrees ? "1" : "0"),
                  std::to_string(entries.size()),
                  std::to_string(term_at_last_offset), std::nullopt});
  for (std::size_t n = offset;
       agrees && n < entries.size() && rows.size() <= kMaxEntriesPerFetch;
       ++n) {
    rows.push_back({std::string("1"), std::to_string(n + 1),
                    std::to_string(entries[n].term),
                    LogContentToText(entries[n].value)});
  }
  SendRows(rows);
}

void backend_session::Flush() {
  output_ += writer_.Take();
  if (writing_ || output_.empty() || silent_) {
    return;
  }
  writing_ = true;
  const auto sent = std::make_shared<std::string>(std::exchange(output_, {}));
  boost::asio::async_write(
      socket_, boost::asio::buffer(*sent),
      [self = shared_from_this(), sent](const boost::system::error_code& error,
                                        std::size_t) {
        self->writing_ = false;
        if (error || (self->closing_ && self->output_.empty())) {
          boost::system::error_code ignored;
          self->socket_.close(ignored);
          return;
        }
        self->Flush();
      });
}

}  // namespace plantaintiller::standin
