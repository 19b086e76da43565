#include "plantaintiller/admission/arrival_queue.h"

#include <algorithm>

namespace plantaintiller::admission {

namespace {

/// When the oldest request of a priority class has waited this long, the newest
/// requests are served first: they can still be answered in time, while the
/// oldest mostly cannot (adaptive LIFO, Maurer, 2015).
constexpr core::milliseconds kOverloadedWait{80};

}  // namespace

void arrival_queue::Add(request_key key,
                        const sessions::connection_requirements& need,
                        core::time_point now) {
  const auto class_begin = std::find_if(
      waiting_.begin(), waiting_.end(), [&need](const waiting_request& each) {
        return each.need.priority >= need.priority;
      });
  const bool overloaded = class_begin != waiting_.end() &&
                          class_begin->need.priority == need.priority &&
                          now - class_begin->since > kOverloadedWait;
  const auto place =
      overloaded ? class_begin
                 : std::find_if(class_begin, waiting_.end(),
                                [&need](const waiting_request& each) {
                                  return each.need.priority > need.priority;
                                });
  places_[key] = waiting_.insert(place, {key, need, now});
}

void arrival_queue::Remove(request_key key) {
  const auto found = places_.find(key);
  if (found != places_.end()) {
    waiting_.erase(found->second);
    places_.erase(found);
  }
}

void arrival_queue::OnServed(request_key key, core::time_point) {
  Remove(key);
}

const waiting_request* arrival_queue::Find(request_key key) const {
  const auto found = places_.find(key);
  return found == places_.end() ? nullptr : &*found->second;
}

std::vector<request_key> arrival_queue::Order(core::time_point) const {
  std::vector<request_key> order;
  order.reserve(waiting_.size());
  for (const waiting_request& each : waiting_) {
    order.push_back(each.key);
  }
  return order;
}

}  // namespace plantaintiller::admission
