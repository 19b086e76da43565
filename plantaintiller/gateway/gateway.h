#pragma once

#include <memory>

#include "plantaintiller/gateway/directory_codec.h"
#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/store/row_store.h"

namespace boost::asio {
class io_context;
}

namespace plantaintiller::gateway {

/// What an entry instance uses of the outside world.
struct gateway_dependencies {
  sessions::caller_codec& callers;
  sessions::server_codec& servers;
  sessions::status_reader& status;
  const directory_codec& directory;
  store::row_store& rows;
  store::promotion_service& promotions;
};

/// An entry instance: accepts callers' sessions and runs their statements at
/// the backend servers.
class gateway {
 public:
  /// All references must outlive the instance.
  gateway(boost::asio::io_context& context,
          const gateway_settings& settings,
          const gateway_dependencies& peers);
  ~gateway();

  /// Runs until a signal ends it. @return the exit status.
  int Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
