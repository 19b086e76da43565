#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <vector>

#include "plantaintiller/standin/backend_node.h"
#include "plantaintiller/standin/postgres_wire.h"

namespace plantaintiller::standin {

class backend_service;

/// One connection to a stand-in backend server.
class backend_session : public std::enable_shared_from_this<backend_session> {
 public:
  backend_session(boost::asio::ip::tcp::socket socket,
                  backend_service& service);
  ~backend_session();

  /// Starts reading.
  void Start();
  /// Retries the message that waits for another session's transaction to end or
  /// for the log to advance.
  void Resume();
  /// Stops answering but leaves the socket open. Rolls back the session's
  /// transaction.
  void StopResponding();
  /// Closes the connection and cancels its pending operations.
  void Close();
  /// Whether the client connected with the control role.
  bool IsControl() const { return is_control_; }

 private:
  enum class progress : bool { kDone, kBlocked };

  void Read();
  void Process();
  bool HandleStartup(const wire_message& message);
  progress HandleMessage(const wire_message& message);
  void Parse(const wire_message& message);
  void Bind(const wire_message& message);
  void Describe();
  progress Execute();
  void Sync();
  void RunStatement();
  bool RunTransactionControl();
  progress RunFunction(const std::string& name);
  progress WaitForState();
  void SendState();
  void SendLog();
  void SendRows(const std::vector<std::vector<cell>>& rows);
  void Fail(std::string_view sqlstate, std::string_view message);
  std::uint64_t NumberParam(std::size_t param) const;
  void Flush();

  boost::asio::ip::tcp::socket socket_;
  backend_service& service_;
  boost::asio::steady_timer wait_timer_;
  std::array<char, 16384> read_buffer_{};
  std::string input_;
  std::string output_;
  bool writing_ = false;
  bool reading_ = false;
  bool started_ = false;
  bool is_control_ = false;
  bool silent_ = false;
  bool closing_ = false;
  // Set after an error: messages are skipped until Sync.
  bool skip_until_sync_ = false;
  bool explicit_transaction_ = false;
  bool wait_expired_ = false;
  bool wait_timer_armed_ = false;
  std::string sql_;
  std::vector<cell> params_;
  wire_writer writer_;
  std::optional<wire_message> pending_message_;
};

}  // namespace plantaintiller::standin
