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

/// The duty that talks to other instances, by Cap'n Proto RPC on a thread of
/// its own. Commands come in by one ring, events go out by another.
class peer_loop {
 public:
  /// Both channels must outlive the loop, and the loop be their only user on
  /// its side.
  peer_loop(const peer_settings& settings,
            core::channel<command>& commands,
            core::channel<event>& events);
  ~peer_loop();

  /// Opens the listening socket and starts the thread. Call once.
  /// @return whether the address could be used.
  bool Start();
  /// Stops and joins the thread.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::instances
