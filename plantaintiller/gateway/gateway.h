#pragma once

#include <memory>

#include "plantaintiller/gateway/directory_codec.h"
#include "plantaintiller/gateway/gateway_settings.h"
#include "plantaintiller/sessions/codec.h"
#include "plantaintiller/store/promotion_service.h"
#include "plantaintiller/store/row_store.h"

namespace boost::asio {
class io_context;
}

namespace plantaintiller::gateway {

/// Codecs and services that an instance uses.
struct gateway_dependencies {
  sessions::caller_codec& callers;
  sessions::server_codec& servers;
  sessions::status_reader& status;
  const directory_codec& directory;
  store::row_store& rows;
  store::promotion_service& promotions;
};

/// An instance of the proxy: accepts callers' connections and runs their
/// statements on the backend servers.
class gateway {
 public:
  /// All references must outlive the instance.
  gateway(boost::asio::io_context& context,
          const gateway_settings& settings,
          const gateway_dependencies& dependencies);
  ~gateway();

  /// Runs until a signal stops the process. @return the exit status.
  int Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
