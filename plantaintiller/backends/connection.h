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
  /// Database role; the control role has connections of its own, beyond those
  /// that statements may use.
  std::string role = kStatementRole;
  friend bool operator==(const server_address&,
                         const server_address&) = default;
};

/// One statement of a batch.
struct batch_step {
  std::string sql;
  std::vector<std::optional<std::string>> params;
  /// Whether a Sync follows, which commits the implicit transaction of the
  /// steps since the last one.
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
  /// Nothing was sent: the machine refused the connection.
  kRefused,
  /// The server refused the connection for too many connections.
  kTooManyConnections,
  /// The connection was lost after something was sent.
  kLost,
};

/// Result of a batch: a result for each step on kAnswered.
struct batch_result {
  batch_status status = batch_status::kNotSent;
  std::vector<step_result> steps;
};

using batch_callback = std::function<void(const batch_result&)>;

/// One connection to a backend server, by libpq in pipeline mode.
///
/// Connects on first use. One batch at a time. Not thread-safe.
class connection {
 public:
  connection(boost::asio::io_context& context, server_address address);
  /// Closes the connection. A batch in progress gets no result.
  ~connection();

  /// Sends a batch in one round trip. The connection must be idle.
  void Run(std::vector<batch_step> steps, batch_callback done);
  bool IsBusy() const;

 private:
  class implementation;
  std::shared_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::backends
