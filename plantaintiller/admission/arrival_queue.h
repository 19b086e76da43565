#pragma once

#include <list>
#include <unordered_map>
#include <vector>

#include "plantaintiller/admission/request_queue.h"

namespace plantaintiller::admission {

/// Serves requests by priority class and, within a class, in the order of
/// arrival. While the oldest request of a class has waited for long, the newest
/// is served first.
class arrival_queue : public request_queue {
 public:
  void Add(request_key key,
           const sessions::connection_requirements& need,
           core::time_point now) override;
  void Remove(request_key key) override;
  void OnServed(request_key key, core::time_point now) override;
  const waiting_request* Find(request_key key) const override;
  std::vector<request_key> Order(core::time_point now) const override;
  std::size_t Size() const override { return waiting_.size(); }

 private:
  std::list<waiting_request> waiting_;
  std::unordered_map<request_key, std::list<waiting_request>::iterator> places_;
};

}  // namespace plantaintiller::admission
