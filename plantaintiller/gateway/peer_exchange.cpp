#include "plantaintiller/gateway/peer_exchange.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <random>
#include <utility>

#include "plantaintiller/gateway/socket_options.h"
#include "plantaintiller/gateway/state_codec.h"
#include "plantaintiller/gateway/state_transfer.h"

namespace plantaintiller::gateway {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;

void Count(message_count& kind, std::size_t bytes) {
  kind.messages += 1;
  kind.bytes += bytes;
}

}  // namespace

class peer_exchange::implementation
    : public peer_transport,
      public std::enable_shared_from_this<peer_exchange::implementation> {
 public:
  implementation(asio::io_context& context,
                 const gateway_settings& settings,
                 event_log& log,
                 peer_listener& listener)
      : context_(context),
        settings_(settings),
        log_(log),
        listener_(listener),
        datagrams_(context),
        acceptor_(context),
        timer_(context),
        protocol_(settings, listener, *this, std::random_device()()) {}

  void Start();
  void Stop();
  peer_protocol& Protocol() { return protocol_; }
  bool IsStopped() const { return stopped_; }
  const exchange_counts& Counts() const { return counts_; }

  // peer_transport
  void SendDatagram(const std::string& host,
                    const std::string& bytes,
                    heartbeat_kind kind) override;
  void PullFrom(const std::string& host) override;
  void WakeAt(core::time_point when) override;

 private:
  void Receive();
  void OnDatagram(std::size_t size);
  void RequestState(const std::shared_ptr<state_transfer>& connection);
  void EndPull(bool answered);
  void Accept();
  void Serve(const std::shared_ptr<state_transfer>& connection);
  void Answer(const std::shared_ptr<state_transfer>& connection,
              const state_request& request);

  asio::io_context& context_;
  const gateway_settings& settings_;
  event_log& log_;
  peer_listener& listener_;
  udp::socket datagrams_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  bool stopped_ = false;
  udp::endpoint sender_;
  std::array<char, 2048> receive_buffer_{};
  exchange_counts counts_;
  peer_protocol protocol_;
};

void peer_exchange::implementation::Start() {
  const auto host = asio::ip::make_address(settings_.peers.host);
  datagrams_.open(udp::v4());
  datagrams_.bind({host, settings_.peers.port});
  acceptor_.open(tcp::v4());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind({host, settings_.peers.port});
  acceptor_.listen();
  Receive();
  Accept();
  protocol_.Start(core::clock::now());
}

void peer_exchange::implementation::Stop() {
  stopped_ = true;
  error_code ignored;
  datagrams_.close(ignored);
  acceptor_.close(ignored);
  timer_.cancel();
}

void peer_exchange::implementation::WakeAt(core::time_point when) {
  if (stopped_) {
    return;
  }
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !self->stopped_) {
      self->protocol_.OnTimer(core::clock::now());
    }
  });
}

void peer_exchange::implementation::SendDatagram(const std::string& host,
                                                 const std::string& bytes,
                                                 heartbeat_kind kind) {
  error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error || stopped_) {
    return;
  }
  Count(counts_.heartbeats.at(static_cast<std::size_t>(kind)), bytes.size());
  // A datagram that cannot be sent is treated like one lost in the network.
  datagrams_.send_to(asio::buffer(bytes), {address, settings_.peers.port}, 0,
                     error);
}

void peer_exchange::implementation::Receive() {
  datagrams_.async_receive_from(
      asio::buffer(receive_buffer_), sender_,
      [self = shared_from_this()](error_code failed, std::size_t size) {
        if (self->stopped_) {
          return;
        }
        if (!failed) {
          self->OnDatagram(size);
        }
        self->Receive();
      });
}

void peer_exchange::implementation::OnDatagram(std::size_t size) {
  std::string problem;
  const std::optional<heartbeat> message =
      heartbeat_codec::Decode(receive_buffer_.data(), size, problem);
  if (message.has_value()) {
    protocol_.OnHeartbeat(*message, core::clock::now());
    return;
  }
  log_line(log_, "peers", "unreadable")
      .With("from", sender_.address().to_string())
      .With("bytes", static_cast<std::int64_t>(size))
      .With("detail", problem);
}

void peer_exchange::implementation::EndPull(bool answered) {
  protocol_.OnPullEnded(answered, core::clock::now());
}

void peer_exchange::implementation::PullFrom(const std::string& host) {
  error_code error;
  const auto address = asio::ip::make_address(host, error);
  if (error || stopped_) {
    asio::post(context_, [self = shared_from_this()] { self->EndPull(false); });
    return;
  }
  const auto connection =
      std::make_shared<state_transfer>(tcp::socket(context_));
  connection->Arm();
  connection->Socket().async_connect(
      {address, settings_.peers.port},
      [self = shared_from_this(), connection](error_code failed) {
        if (failed) {
          connection->Finish();
          self->EndPull(false);
          return;
        }
        self->RequestState(connection);
      });
}

void peer_exchange::implementation::RequestState(
    const std::shared_ptr<state_transfer>& connection) {
  SetLatencyOptions(connection->Socket());
  std::string request = state_codec::EncodeRequest(listener_.Request());
  Count(counts_.requests, request.size());
  connection->Write(std::move(request), [] {});
  connection->Read(
      [self = shared_from_this()](const std::string& body) {
        std::string problem;
        const auto state = state_codec::DecodeState(body, problem);
        if (state.has_value()) {
          self->listener_.OnRemoteState(*state);
        } else {
          log_line(self->log_, "peers", "unreadable_state")
              .With("detail", problem);
        }
        self->EndPull(state.has_value());
      },
      [self = shared_from_this()] { self->EndPull(false); });
}

void peer_exchange::implementation::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](error_code failed, tcp::socket socket) {
        if (failed == asio::error::operation_aborted || self->stopped_) {
          return;
        }
        if (!failed) {
          SetLatencyOptions(socket);
          self->Serve(std::make_shared<state_transfer>(std::move(socket)));
        }
        self->Accept();
      });
}

void peer_exchange::implementation::Serve(
    const std::shared_ptr<state_transfer>& connection) {
  connection->Arm();
  connection->Read(
      [self = shared_from_this(), connection](const std::string& body) {
        std::string problem;
        const auto request = state_codec::DecodeRequest(body, problem);
        if (request.has_value()) {
          self->Answer(connection, *request);
        } else {
          log_line(self->log_, "peers", "unreadable_request")
              .With("detail", problem);
        }
      },
      [] {});
}

void peer_exchange::implementation::Answer(
    const std::shared_ptr<state_transfer>& connection,
    const state_request& request) {
  const remote_state state = listener_.StateFor(request);
  std::string bytes = state_codec::EncodeState(state);
  const bool whole = state.list.version != 0 && state.list.base_hash == 0;
  Count(!state.configuration.empty() ? counts_.configurations
        : whole                      ? counts_.whole_lists
                                     : counts_.list_changes,
        bytes.size());
  connection->Arm(bytes.size());
  connection->Write(std::move(bytes), [connection] { connection->Finish(); });
}

peer_exchange::peer_exchange(asio::io_context& context,
                             const gateway_settings& settings,
                             event_log& log,
                             peer_listener& listener)
    : implementation_(
          std::make_shared<implementation>(context, settings, log, listener)) {}

peer_exchange::~peer_exchange() {
  implementation_->Stop();
}

void peer_exchange::Start() {
  implementation_->Start();
}

void peer_exchange::Stop() {
  implementation_->Stop();
}

void peer_exchange::AddListed(
    const std::vector<std::pair<std::string, instance_info>>& instances) {
  implementation_->Protocol().AddListed(instances, core::clock::now());
}

void peer_exchange::PullState(const std::string& host) {
  implementation_->Protocol().PullState(host, core::clock::now());
}

const std::vector<forwarding::owner_candidate>& peer_exchange::ZoneMembers()
    const {
  return implementation_->Protocol().Members().ZoneMembers(core::clock::now());
}

void peer_exchange::Announce(change_source source) {
  if (!implementation_->IsStopped()) {
    implementation_->Protocol().Announce(source, core::clock::now());
  }
}

void peer_exchange::RequestConnection(const std::string& group,
                                      const std::string& server) {
  implementation_->Protocol().RequestConnection(group, server,
                                                core::clock::now());
}

bool peer_exchange::IsStoreReader() const {
  return implementation_->Protocol().Members().IsStoreReader(
      core::clock::now());
}

std::vector<relay_candidate> peer_exchange::LiveInstances() const {
  return implementation_->Protocol().Members().LiveInstances(
      core::clock::now());
}

std::size_t peer_exchange::LivePeers() const {
  return implementation_->Protocol().Members().LiveCount(core::clock::now());
}

std::uint64_t peer_exchange::MembersGeneration() const {
  return implementation_->Protocol().Members().Generation(core::clock::now());
}

const exchange_counts& peer_exchange::Counts() const {
  return implementation_->Counts();
}

}  // namespace plantaintiller::gateway
