#include "plantaintiller/model/event_queue.h"

#include <utility>

namespace plantaintiller::model {

void event_queue::ScheduleAfter(core::duration delay, task work) {
  entries_.push({now_ + delay, next_sequence_number_, std::move(work)});
  next_sequence_number_ += 1;
}

void event_queue::RunUntil(core::time_point end) {
  while (!entries_.empty() && entries_.top().at <= end) {
    // top() returns a constant reference. Moving out of the entry is safe
    // because it is removed before anything else uses its task.
    task work = std::move(const_cast<entry&>(entries_.top()).work);
    now_ = entries_.top().at;
    entries_.pop();
    work();
  }
  now_ = end;
}

}  // namespace plantaintiller::model
