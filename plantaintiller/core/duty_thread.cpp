#include "plantaintiller/core/duty_thread.h"

#include <pthread.h>

#include <boost/asio/post.hpp>
#include <utility>

namespace plantaintiller::core {

duty_thread::duty_thread(std::string name) : name_(std::move(name)) {}

duty_thread::~duty_thread() {
  Stop();
}

void duty_thread::Start() {
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), name_.c_str());
    context_.run();
  });
}

void duty_thread::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void duty_thread::Post(std::function<void()> task) {
  boost::asio::post(context_, std::move(task));
}

}  // namespace plantaintiller::core
