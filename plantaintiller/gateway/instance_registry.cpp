#include "plantaintiller/gateway/instance_registry.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <sstream>

namespace plantaintiller::gateway {

namespace {

constexpr const char* kTable = "instances";
/// Pauses after failed calls. The store's part takes 150 registrations a
/// second, so that some of those of a few hundred instances are refused.
constexpr core::milliseconds kFirstPause{400};
constexpr core::milliseconds kMaxPause{5000};
/// Registrations of all instances are spread over this time, or over the time
/// for each of them if that is longer.
constexpr core::milliseconds kRegistrationSpread{3000};
constexpr core::milliseconds kSpreadPerInstance{10};

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
      timer_(context),
      backoff_(kFirstPause, kMaxPause, std::random_device()()) {}

void instance_registry::Start() {
  ReadAll();
}

void instance_registry::RegisterAgain() {
  if (stopped_) {
    return;
  }
  registered_ = false;
  const std::size_t hash =
      XXH3_64bits(settings_.instance.data(), settings_.instance.size());
  const core::milliseconds spread = std::max(
      kRegistrationSpread,
      kSpreadPerInstance * static_cast<std::int64_t>(peers_.LivePeers()));
  timer_.expires_after(core::milliseconds(static_cast<std::int64_t>(
      hash % static_cast<std::size_t>(spread.count()))));
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

std::string instance_registry::RowValue() const {
  return settings_.zone + " " + settings_.peers.host + " " +
         std::to_string(CapacityUnits(settings_.capacity));
}

void instance_registry::Register() {
  store::row row;
  row.table = kTable;
  row.key = settings_.instance;
  row.value = RowValue();
  store::row_transaction change;
  change.writes.push_back(std::move(row));
  rows_.Commit(change, [this](const store::rows_answer& answer) {
    if (answer.status != store::call_status::kDone) {
      ScheduleRetry(&instance_registry::Register);
      return;
    }
    backoff_.OnSuccess();
    registered_ = true;
    // Registered again after the store went back: the others are known.
    if (!read_) {
      ReadAll();
    }
  });
}

void instance_registry::Read(const std::string& from) {
  if (from.empty()) {
    listed_.clear();
  }
  rows_.Read(kTable, "", from, [this](const store::rows_answer& answer) {
    if (answer.status != store::call_status::kDone) {
      ScheduleRetry(&instance_registry::ReadAll);
      return;
    }
    for (const store::row& each : answer.rows) {
      instance_info info;
      std::istringstream text(each.value);
      if (text >> info.zone >> info.host) {
        // Rows of earlier versions have no capacity.
        text >> info.capacity_units;
        listed_.emplace_back(each.key, info);
      }
      if (each.key == settings_.instance) {
        registered_ = each.value == RowValue();
      }
    }
    if (answer.truncated && !answer.rows.empty()) {
      Read(answer.rows.back().key + '\x01');
      return;
    }
    backoff_.OnSuccess();
    // All at once, so that a large deployment is known to be one.
    peers_.AddListed(listed_);
    listed_.clear();
    if (registered_) {
      OnRead();
    } else {
      Register();
    }
  });
}

void instance_registry::OnRead() {
  read_ = true;
  listener_.OnInstancesRead();
}

void instance_registry::ScheduleRetry(void (instance_registry::*call)()) {
  if (stopped_) {
    return;
  }
  timer_.expires_after(backoff_.OnFailure());
  timer_.async_wait([this, call](boost::system::error_code cancelled) {
    if (!cancelled) {
      (this->*call)();
    }
  });
}

}  // namespace plantaintiller::gateway
