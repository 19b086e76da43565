#include "plantaintiller/forwarding/remote_session_service.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>

#include "plantaintiller/forwarding/remote_session_link.h"
#include "plantaintiller/gateway/event_log.h"

namespace plantaintiller::forwarding {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

class remote_session_service::implementation
    : public remote_session_link_listener,
      public std::enable_shared_from_this<
          remote_session_service::implementation> {
 public:
  implementation(asio::io_context& context,
                 remote_session_host& host,
                 gateway::event_log& log)
      : context_(context), host_(host), log_(log), acceptor_(context) {}

  void Listen(const std::string& host, std::uint16_t port);
  void Stop();
  void OnRemoteSessionLinkLost(remote_session_link& link) override;
  std::size_t Sessions() const;
  template <class link_action>
  void ForEach(link_action action) {
    const std::set<std::shared_ptr<remote_session_link>> all = links_;
    for (const auto& each : all) {
      action(*each);
    }
  }

 private:
  void Accept();

  asio::io_context& context_;
  remote_session_host& host_;
  gateway::event_log& log_;
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<remote_session_link>> links_;
};

void remote_session_service::implementation::Listen(const std::string& host,
                                                    std::uint16_t port) {
  const tcp::endpoint endpoint(asio::ip::make_address(host), port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
}

void remote_session_service::implementation::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code failed, tcp::socket socket) {
        if (failed == asio::error::operation_aborted ||
            !self->acceptor_.is_open()) {
          return;
        }
        if (!failed) {
          self->links_.insert(std::make_shared<remote_session_link>(
              std::move(socket), self->host_, *self));
        }
        self->Accept();
      });
}

void remote_session_service::implementation::OnRemoteSessionLinkLost(
    remote_session_link& link) {
  gateway::log_line(log_, "forwarding", "guests_lost")
      .With("sessions", static_cast<std::int64_t>(link.Sessions()));
  const auto found =
      std::find_if(links_.begin(), links_.end(),
                   [&link](const auto& each) { return each.get() == &link; });
  if (found != links_.end()) {
    // Freed later because the caller of this function is a member of the link.
    asio::post(context_, [held = *found] {});
    links_.erase(found);
  }
}

std::size_t remote_session_service::implementation::Sessions() const {
  std::size_t count = 0;
  for (const auto& each : links_) {
    count += each->Sessions();
  }
  return count;
}

void remote_session_service::implementation::Stop() {
  error_code ignored;
  acceptor_.close(ignored);
  links_.clear();
}

remote_session_service::remote_session_service(asio::io_context& context,
                                               remote_session_host& host,
                                               gateway::event_log& log)
    : implementation_(std::make_shared<implementation>(context, host, log)) {}

remote_session_service::~remote_session_service() {
  implementation_->Stop();
}

void remote_session_service::Listen(const std::string& host,
                                    std::uint16_t port) {
  implementation_->Listen(host, port);
}

void remote_session_service::OnConfiguration() {
  implementation_->ForEach(
      [](remote_session_link& each) { each.OnConfiguration(); });
}

void remote_session_service::CloseWhenIdle() {
  implementation_->ForEach(
      [](remote_session_link& each) { each.CloseWhenIdle(); });
}

void remote_session_service::RefuseFurtherWork(const char* reason) {
  implementation_->ForEach(
      [reason](remote_session_link& each) { each.RefuseFurtherWork(reason); });
}

std::size_t remote_session_service::Sessions() const {
  return implementation_->Sessions();
}

void remote_session_service::Stop() {
  implementation_->Stop();
}

}  // namespace plantaintiller::forwarding
