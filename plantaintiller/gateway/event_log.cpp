#include "plantaintiller/gateway/event_log.h"

#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "plantaintiller/gateway/log_limiter.h"

namespace plantaintiller::gateway {

namespace {

/// Size of the buffer: about one second of output of a busy instance.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} << 10U;
/// Interval at which buffered lines are written together, so that not every
/// line wakes the thread.
constexpr std::chrono::milliseconds kFlushInterval{250};

void WriteAll(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t wrote =
        ::write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (wrote <= 0) {
      return;
    }
    done += static_cast<std::size_t>(wrote);
  }
}

}  // namespace

class event_log::implementation {
 public:
  implementation() : thread_([this] { Run(); }) {
    pthread_setname_np(thread_.native_handle(), "log");
  }
  ~implementation() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
  }
  implementation(const implementation&) = delete;
  implementation& operator=(const implementation&) = delete;

  void Append(std::string_view line, std::string_view kind) {
    bool first = false;
    {
      const std::lock_guard lock(mutex_);
      const auto omitted = limiter_.Admit(kind, core::clock::now());
      if (!omitted.has_value()) {
        return;
      }
      if (buffered_.size() + line.size() > kMaxBufferedBytes) {
        dropped_ += 1;
        return;
      }
      first = buffered_.empty();
      if (*omitted > 0) {
        buffered_ += "log event=omitted kind=\"" + std::string(kind) +
                     "\" lines=" + std::to_string(*omitted) + "\n";
      }
      buffered_ += line;
    }
    if (first) {
      wake_.notify_one();
    }
  }

  std::uint64_t Dropped() const { return dropped_; }

 private:
  void Run() {
    std::string writing;
    std::uint64_t reported = 0;
    std::unique_lock lock(mutex_);
    while (true) {
      wake_.wait(lock, [this] { return stopping_ || !buffered_.empty(); });
      if (!stopping_) {
        wake_.wait_for(lock, kFlushInterval, [this] { return stopping_; });
      }
      writing.swap(buffered_);
      const std::uint64_t dropped = dropped_;
      const bool last = stopping_;
      lock.unlock();
      if (dropped != reported) {
        writing +=
            "log event=dropped lines=" + std::to_string(dropped - reported) +
            "\n";
        reported = dropped;
      }
      WriteAll(writing);
      writing.clear();
      if (last) {
        return;
      }
      lock.lock();
    }
  }

  std::mutex mutex_;
  std::condition_variable wake_;
  std::string buffered_;
  log_limiter limiter_;
  std::atomic<std::uint64_t> dropped_{0};
  bool stopping_ = false;
  std::thread thread_;
};

void AppendEscaped(std::string& out, std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (const char each : text) {
    const auto code = static_cast<unsigned char>(each);
    if (code >= 0x20 && code != 0x7f) {
      out += each;
      continue;
    }
    out += "\\x";
    out += kDigits[code >> 4U];
    out += kDigits[code & 0xfU];
  }
}

event_log::event_log() : implementation_(std::make_unique<implementation>()) {}

event_log::~event_log() = default;

void event_log::Append(std::string_view line, std::string_view kind) {
  implementation_->Append(line, kind);
}

std::uint64_t event_log::Dropped() const {
  return implementation_->Dropped();
}

log_line::log_line(event_log& log,
                   std::string_view part,
                   std::string_view event)
    : log_(log) {
  text_.reserve(200);
  text_ += part;
  text_ += " event=";
  text_ += event;
  kind_size_ = text_.size();
  With("time", core::UnixTime().count());
}

log_line::~log_line() {
  text_ += '\n';
  log_.Append(text_, std::string_view(text_).substr(0, kind_size_));
}

log_line& log_line::With(std::string_view key, std::string_view value) {
  text_ += ' ';
  text_ += key;
  text_ += '=';
  const bool quoted = value.find(' ') != std::string_view::npos;
  if (quoted) {
    text_ += '"';
  }
  AppendEscaped(text_, value);
  if (quoted) {
    text_ += '"';
  }
  return *this;
}

log_line& log_line::With(std::string_view key, std::int64_t value) {
  text_ += ' ';
  text_ += key;
  text_ += '=';
  text_ += std::to_string(value);
  return *this;
}

}  // namespace plantaintiller::gateway
