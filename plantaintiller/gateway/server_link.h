#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "plantaintiller/core/time.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/sessions/server_connection.h"

namespace plantaintiller::gateway {

class server_link;

/// Why a link was closed or could not be opened.
enum class link_close_reason : std::uint8_t {
  kLost,
  /// The server accepts no more connections.
  kFull,
  /// Another server listens at the address.
  kWrongServer,
};

/// What was wrong with bytes that a server sent.
enum class link_fault : std::uint8_t {
  /// An answer although no command waited for one.
  kUnexpectedAnswer,
  /// Bytes that are no answer.
  kMalformedAnswer,
  /// An answer that the command which waits can't have.
  kOutOfStep,
  /// An earlier answer for the second time. It is dropped; all others close the
  /// link.
  kRepeatedAnswer,
};

/// @return the name of a fault in logs and metrics, a string of static storage.
const char* LinkFaultName(link_fault fault);

/// State of a link.
enum class link_phase : std::uint8_t { kOpening, kIdle, kInUse };

/// Receives the events of links.
class server_link_listener {
 public:
  virtual ~server_link_listener() = default;
  /// Called when a link has opened or was released without an open transaction,
  /// so that it can be acquired. @param previous_phase its state until now.
  virtual void OnLinkIdle(server_link& link, link_phase previous_phase) = 0;
  /// Called when a link has closed; it is freed after the call.
  virtual void OnLinkClosed(server_link& link,
                            link_close_reason reason,
                            link_phase previous_phase) = 0;
  /// Called when a server has sent what answers no command, before the link is
  /// closed for it, if it is.
  /// @param outstanding number of commands that wait for an answer.
  virtual void OnLinkFault(server_link& link,
                           link_fault fault,
                           int outstanding) = 0;
};

/// Server that a link connects to, and its address.
struct link_target {
  std::string group;
  std::string server;
  std::string host;
  std::uint16_t port = 0;
  /// Client account that the link belongs to; empty for none.
  std::string account;
};

/// A connection to a backend server. Replies are matched to the commands by
/// their order (`sessions::answer_sequence`). If a refusal, or the answer to
/// BEGIN, may belong to an earlier command, the link asks for the server's
/// status before it passes the answer on: that of the command itself would
/// arrive first.
class server_link : public sessions::server_connection,
                    public std::enable_shared_from_this<server_link> {
 public:
  /// Starts to open a link. @param codec and @param link_listener must outlive
  /// it.
  static std::shared_ptr<server_link> Open(boost::asio::io_context& context,
                                           sessions::server_codec& codec,
                                           const link_target& target,
                                           server_link_listener& link_listener);
  ~server_link() override;

  /// Acquires an idle link. @param listener receives the replies until the link
  /// is released.
  virtual void Acquire(sessions::reply_listener& listener) = 0;
  /// Closes the link; its reply listener, if any, is notified that the
  /// connection is lost.
  virtual void Close() = 0;
  /// @return the client account that the link belongs to; empty for none.
  virtual const std::string& Account() const = 0;
  /// When the link last became idle.
  virtual core::time_point IdleSince() const = 0;
};

}  // namespace plantaintiller::gateway
