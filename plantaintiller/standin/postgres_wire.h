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

/// Reads fields of a message body, in the order in which they stand.
class wire_reader {
 public:
  explicit wire_reader(std::string_view body) : remaining_(body) {}
  std::uint16_t Int16();
  std::uint32_t Int32();
  /// Text up to a zero byte.
  std::string Text();
  std::string Bytes(std::size_t size);
  /// Whether a read went past the end.
  bool Failed() const { return failed_; }

 private:
  std::string_view remaining_;
  bool failed_ = false;
};

/// Server's messages of PostgreSQL's protocol, version 3.
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

  /// Takes what has been written so far.
  std::string Take();

 private:
  void Message(char type, std::string_view body);
  std::string out_;
};

/// Takes the next whole message from a buffer. @param startup whether the
/// message is one without a type byte. @return nothing if it is not whole yet.
std::optional<wire_message> TakeMessage(std::string& buffer, bool startup);

}  // namespace plantaintiller::standin
