#include "plantaintiller/cli/blocking_request.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <utility>

#include "plantaintiller/http/client.h"

namespace plantaintiller::cli {

namespace {
constexpr core::milliseconds kTimeout{10000};
}  // namespace

core::result<http::response> BlockingRequest(const address& server,
                                             const http::request& request) {
  boost::asio::io_context context(1);
  http::client client(context, server.host, server.port, kTimeout);
  std::optional<http::response> answer;
  client.Send(request,
              [&](http::exchange_status status, http::response received) {
                if (status == http::exchange_status::kAnswered) {
                  answer = std::move(received);
                }
                context.stop();
              });
  context.run();
  if (!answer.has_value()) {
    return core::Fail(core::error_type::kUnavailable,
                      server.host + ":" + std::to_string(server.port),
                      "no answer");
  }
  return std::move(*answer);
}

}  // namespace plantaintiller::cli
