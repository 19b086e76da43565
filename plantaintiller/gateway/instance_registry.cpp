#include "plantaintiller/gateway/instance_registry.h"

#include <xxhash.h>

#include <sstream>

namespace plantaintiller::gateway {

namespace {

constexpr const char* kTable = "instances";
/// Pause after a failed call; nothing waits for the registration.
constexpr core::milliseconds kRetryPause{1500};
/// Registrations of all instances are spread over this time: the store's part
/// takes 150 a second.
constexpr core::milliseconds kRegistrationSpread{3000};

}  // namespace

instance_registry::instance_registry(boost::asio::io_context& context,
                                     const gateway_settings& settings,
                                     store::row_store& rows,
                                     peer_exchange& peers,
                                     instance_registry_listener& listener)
    : settings_(settings),
      rows_(rows),
      peers_(peers),
      listener_(listener),
      timer_(context) {}

void instance_registry::Start() {
  Register();
}

void instance_registry::RegisterAgain() {
  if (stopped_) {
    return;
  }
  const std::size_t hash =
      XXH3_64bits(settings_.instance.data(), settings_.instance.size());
  timer_.expires_after(core::milliseconds(
      static_cast<std::int64_t>(hash % kRegistrationSpread.count())));
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      Register();
    }
  });
}

void instance_registry::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void instance_registry::Register() {
  store::row row;
  row.table = kTable;
  row.key = settings_.instance;
  row.value = settings_.zone + " " + settings_.peers.host + " " +
              std::to_string(CapacityUnits(settings_.capacity));
  store::row_transaction change;
  change.writes.push_back(std::move(row));
  rows_.Commit(change, [this](const store::rows_answer& answer) {
    if (answer.status == store::call_status::kDone) {
      Read("");
    } else {
      ScheduleRetry();
    }
  });
}

void instance_registry::Read(const std::string& from) {
  rows_.Read(kTable, "", from, [this](const store::rows_answer& answer) {
    if (answer.status != store::call_status::kDone) {
      ScheduleRetry();
      return;
    }
    for (const store::row& each : answer.rows) {
      instance_info info;
      std::istringstream text(each.value);
      if (text >> info.zone >> info.host) {
        // Rows of earlier versions have no capacity.
        text >> info.capacity_units;
        peers_.AddPeer(each.key, info);
      }
    }
    if (answer.truncated && !answer.rows.empty()) {
      Read(answer.rows.back().key + "%01");
    } else {
      read_ = true;
      listener_.OnInstancesRead();
    }
  });
}

void instance_registry::ScheduleRetry() {
  if (stopped_) {
    return;
  }
  timer_.expires_after(kRetryPause);
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      Register();
    }
  });
}

}  // namespace plantaintiller::gateway
