#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>

namespace plantaintiller::core {

/// Thread that runs one duty's io_context.
class duty_thread {
 public:
  /// @param name shown by the operating system, 15 characters at most.
  explicit duty_thread(std::string name);
  /// Stops and joins.
  ~duty_thread();
  duty_thread(const duty_thread&) = delete;
  duty_thread& operator=(const duty_thread&) = delete;

  /// Context of the duty. Objects that use it may be accessed on its thread
  /// only.
  boost::asio::io_context& Context() { return context_; }
  /// Starts the thread. Call once.
  void Start();
  /// Stops the duty and waits for its thread. May be called twice.
  void Stop();
  /// Schedules a task to run on the duty's thread.
  void Post(std::function<void()> task);

 private:
  std::string name_;
  boost::asio::io_context context_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_{context_.get_executor()};
  std::thread thread_;
};

}  // namespace plantaintiller::core
