#include "plantaintiller/standin/backend_service.h"

#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

namespace plantaintiller::standin {

using tcp = boost::asio::ip::tcp;

backend_service::backend_service(boost::asio::io_context& context,
                                 const backend_settings& settings)
    : context_(context),
      settings_(settings),
      acceptor_(context),
      node_(*this),
      follower_(context, node_) {
  follower_.SetLag(settings.lag);
}

backend_service::~backend_service() = default;

std::uint16_t backend_service::Listen() {
  const tcp::endpoint endpoint(boost::asio::ip::make_address(settings_.host),
                               settings_.port);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
  return acceptor_.local_endpoint().port();
}

void backend_service::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        // A connection may have been accepted just before the acceptor was
        // closed.
        if (error == boost::asio::error::operation_aborted ||
            !acceptor_.is_open()) {
          return;
        }
        if (!error) {
          boost::system::error_code ignored;
          socket.set_option(tcp::no_delay(true), ignored);
          const auto session =
              std::make_shared<backend_session>(std::move(socket), *this);
          sessions_.insert(session.get());
          session->Start();
        }
        Accept();
      });
}

void backend_service::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  follower_.Stop();
  for (backend_session* each : sessions_) {
    each->Close();
  }
}

bool backend_service::AcquireConnection(const backend_session* session) {
  if (statement_sessions_.size() >= settings_.connections) {
    return false;
  }
  statement_sessions_.insert(session);
  return true;
}

void backend_service::OnSessionEnded(const backend_session* session) {
  statement_sessions_.erase(session);
  sessions_.erase(const_cast<backend_session*>(session));
}

void backend_service::SetFault(const std::string& name,
                               std::uint64_t value,
                               const backend_session* requester) {
  if (name == "lag_ms") {
    follower_.SetLag(core::milliseconds(value));
    return;
  }
  if (name != "silent") {
    return;
  }
  // Only connections that are open now stop answering; new ones work.
  for (backend_session* each : sessions_) {
    if (each != requester) {
      each->StopResponding();
    }
  }
}

void backend_service::OnNodeChanged() {
  if (resume_posted_) {
    return;
  }
  resume_posted_ = true;
  boost::asio::post(context_, [this] {
    resume_posted_ = false;
    // Resuming may end a session, so shared pointers keep all sessions alive
    // until the loop has ended.
    std::vector<std::shared_ptr<backend_session>> open;
    for (backend_session* each : sessions_) {
      if (auto held = each->weak_from_this().lock()) {
        open.push_back(std::move(held));
      }
    }
    for (const auto& each : open) {
      each->Resume();
    }
  });
}

void backend_service::OnFollowRequested(core::term_number term,
                                        const primary_address& primary) {
  follower_.Follow(term, primary);
}

}  // namespace plantaintiller::standin
