#pragma once

#include <memory>

#include "plantaintiller/serve/serve_settings.h"

namespace plantaintiller::serve {

/// An entry instance: runs each duty on its own thread and connects the duties
/// by bounded channels.
class entry_instance {
 public:
  explicit entry_instance(const serve_settings& settings);
  ~entry_instance();

  /// Opens the sockets, serves until a graceful shutdown has finished, and
  /// returns the exit status. SIGTERM and SIGINT start the shutdown.
  int Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::serve
