#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantaintiller::backends {

inline constexpr const char* kStatementRole = "plantaintiller";
inline constexpr const char* kControlRole = "plantaintiller_control";

/// Address of a backend server.
struct server_address {
  std::string host;
  std::uint16_t port = 0;
  /// Database role. The server reserves connections for the control role, in
  /// addition to those that statements may use.
  std::string role = kStatementRole;
  friend bool operator==(const server_address&,
                         const server_address&) = default;
};

/// One statement of a batch.
struct batch_step {
  std::string sql;
  std::vector<std::optional<std::string>> params;
  /// Whether a Sync follows, which commits the implicit transaction of the
  /// steps since the previous Sync.
  bool sync_after = false;
};

enum class step_status : std::uint8_t {
  kDone,
  kFailed,
  /// Not run, because an earlier step before the same Sync failed.
  kSkipped,
};

/// Result of one step.
struct step_result {
  step_status status = step_status::kSkipped;
  std::vector<std::string> columns;
  std::vector<std::vector<std::optional<std::string>>> rows;
  std::uint64_t affected_rows = 0;
  std::string sqlstate;
  std::string message;
};

enum class batch_status : std::uint8_t {
  kAnswered,
  /// Nothing was sent.
  kNotSent,
  /// Nothing was sent: the server's machine refused the TCP connection.
  kRefused,
  /// The server refused the connection because it has too many.
  kTooManyConnections,
  /// The connection was lost after something was sent.
  kLost,
};

/// Result of a batch. If it is kAnswered, `steps` has a result for each step;
/// otherwise `steps` is empty.
struct batch_result {
  batch_status status = batch_status::kNotSent;
  std::vector<step_result> steps;
};

/// Receives the result of a batch.
using batch_callback = std::function<void(const batch_result&)>;

/// Connection to a backend server, using libpq in pipeline mode.
///
/// Connects when a batch needs it. Runs one batch at a time. Not thread-safe.
class connection {
 public:
  connection(boost::asio::io_context& context, server_address address);
  /// Closes the connection. The callback of a batch in progress is not called.
  ~connection();

  /// Sends a batch in one round trip. The connection must not be busy.
  /// @param done called with the result on the context's thread, after Run()
  /// has returned.
  void Run(std::vector<batch_step> steps, batch_callback done);
  /// Whether a batch is in progress.
  bool IsBusy() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::backends
