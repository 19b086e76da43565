#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "plantaintiller/standin/sql_engine.h"

namespace plantaintiller::standin {

/// Message from a client: its type byte and body.
struct wire_message {
  char type = 0;
  std::string body;
};

/// Reads the fields of a message body one after another.
class wire_reader {
 public:
  explicit wire_reader(std::string_view body) : remaining_(body) {}
  std::uint16_t Int16();
  std::uint32_t Int32();
  /// Null-terminated string.
  std::string Text();
  std::string Bytes(std::size_t size);
  /// Whether a read went past the end.
  bool Failed() const { return failed_; }

 private:
  std::string_view remaining_;
  bool failed_ = false;
};

/// Writes the server's messages of PostgreSQL's protocol, version 3.
/// Source: PostgreSQL documentation, "Message Formats".
class wire_writer {
 public:
  void AuthenticationOk();
  void ParameterStatus(std::string_view name, std::string_view value);
  void ReadyForQuery(char transaction_state);
  void ParseComplete() { Message('1', ""); }
  void BindComplete() { Message('2', ""); }
  void NoData() { Message('n', ""); }
  void RowDescription(const std::vector<std::string>& columns);
  void DataRow(const std::vector<cell>& row);
  void CommandComplete(std::string_view tag);
  void Error(std::string_view sqlstate, std::string_view message);

  /// Returns the bytes written so far and empties the buffer.
  std::string Take();

 private:
  void Message(char type, std::string_view body);
  std::string out_;
};

/// Removes the next complete message from a buffer.
/// @param startup whether it is a startup message, which has no type byte.
/// @return nullopt if the message is not complete yet.
std::optional<wire_message> TakeMessage(std::string& buffer, bool startup);

}  // namespace plantaintiller::standin
