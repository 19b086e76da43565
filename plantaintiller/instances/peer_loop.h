#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "plantaintiller/core/channel.h"
#include "plantaintiller/core/ids.h"
#include "plantaintiller/instances/messages.h"

namespace plantaintiller::instances {

/// Address that an instance listens on for other instances.
struct peer_settings {
  core::instance_id self;
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
};

/// Communicates with other instances by Cap'n Proto RPC, on its own thread.
/// Receives commands through one channel and sends events through another.
class peer_loop {
 public:
  /// @param settings address to listen on.
  /// @param commands received by the loop, which must be the only receiver.
  /// @param events sent by the loop, which must be the only sender.
  /// Both channels must outlive the loop.
  peer_loop(const peer_settings& settings,
            core::channel<command>& commands,
            core::channel<event>& events);
  ~peer_loop();

  /// Opens the listening socket and starts the thread. Call once.
  /// @return false if it cannot listen on the address.
  bool Start();
  /// Stops and joins the thread.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::instances
