#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace plantaintiller::gateway {

class event_log;

/// Appends a text to a log line with its control characters written as \xNN.
void AppendEscaped(std::string& out, std::string_view text);

/// One line of the structured log: `key=value` pairs after a fixed prefix. The
/// line is appended to the log when the object is destroyed.
class log_line {
 public:
  log_line(event_log& log, std::string_view part, std::string_view event);
  ~log_line();
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;

  /// Adds a pair. Values that contain spaces are quoted; control characters are
  /// written as \xNN, because callers and servers choose some of the values.
  log_line& With(std::string_view key, std::string_view value);
  log_line& With(std::string_view key, std::int64_t value);

 private:
  event_log& log_;
  std::string text_;
  /// Length of the part and event at the beginning of the text.
  std::size_t kind_size_ = 0;
};

/// Structured log on standard output. A thread of its own writes the lines from
/// a bounded buffer; when the buffer is full, lines are dropped and counted. Of
/// one kind only so many are written (`log_limiter`); the next line of that
/// kind tells how many were left out. Callers never wait for the output.
class event_log {
 public:
  event_log();
  ~event_log();
  event_log(const event_log&) = delete;
  event_log& operator=(const event_log&) = delete;

  /// Adds a complete line, including its newline.
  /// @param kind part and event of the line; lines of one kind are limited.
  void Append(std::string_view line, std::string_view kind);
  /// Number of lines dropped so far because the buffer was full.
  std::uint64_t Dropped() const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace plantaintiller::gateway
