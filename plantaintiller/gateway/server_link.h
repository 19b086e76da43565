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

/// Why a link could not be opened, or ended.
enum class link_close_reason : std::uint8_t {
  kLost,
  /// The server has no connection to spare.
  kFull,
  /// Another server listens at the address.
  kWrongServer,
};

/// What a link was doing before an event.
enum class link_phase : std::uint8_t { kOpening, kIdle, kInUse };

/// Owner of links.
class server_link_listener {
 public:
  virtual ~server_link_listener() = default;
  /// A link opened, or was left clean: it can be lent.
  virtual void OnLinkIdle(server_link& link, link_phase before) = 0;
  /// A link ended; it is freed after the call.
  virtual void OnLinkClosed(server_link& link,
                            link_close_reason why,
                            link_phase before) = 0;
};

/// Where and to whom a link goes.
struct link_target {
  std::string group;
  std::string server;
  std::string host;
  std::uint16_t port = 0;
};

/// One connection to a backend server. Answers come in the order of what was
/// sent.
class server_link : public sessions::server_connection,
                    public std::enable_shared_from_this<server_link> {
 public:
  /// @param codec and @param owner must outlive the link.
  static std::shared_ptr<server_link> Open(boost::asio::io_context& context,
                                           sessions::server_codec& codec,
                                           const link_target& target,
                                           server_link_listener& owner);
  ~server_link() override;

  /// Lends an idle link.
  virtual void Acquire(sessions::reply_listener& listener) = 0;
  /// Closes the link; its listener, if any, hears of the loss.
  virtual void Close() = 0;
  /// When it was left last.
  virtual core::time_point IdleSince() const = 0;
};

}  // namespace plantaintiller::gateway
