#pragma once

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace plantaintiller::core {

/// Bounded single-producer, single-consumer queue between two threads.
template <class message>
class channel {
 public:
  /// @param capacity maximum number of queued messages.
  explicit channel(std::size_t capacity) : ring_(capacity) {}

  /// Sets the callback that wakes the receiver. Call before any thread uses the
  /// channel.
  /// @param wake called on the sending thread.
  void SetWakeCallback(std::function<void()> wake) { wake_ = std::move(wake); }

  /// Sends a message. Call on the sending thread.
  /// @return false if the queue is full; the message is then unchanged.
  bool TrySend(const message& value) {
    if (!ring_.push(value)) {
      return false;
    }
    if (!signalled_.exchange(true)) {
      wake_();
    }
    return true;
  }

  /// Receives all queued messages. Call on the receiving thread when woken.
  /// @param receive called with each message.
  template <class receiver>
  void Drain(receiver receive) {
    // Cleared before the queue is read, so that a message sent meanwhile wakes
    // the receiver again.
    signalled_.store(false);
    ring_.consume_all(receive);
  }

 private:
  boost::lockfree::spsc_queue<message> ring_;
  std::atomic<bool> signalled_{false};
  std::function<void()> wake_;
};

}  // namespace plantaintiller::core
