#include "plantaintiller/standin/postgres_wire.h"

#include <utility>

namespace plantaintiller::standin {

namespace {

constexpr std::uint32_t kTextTypeOid = 25;
constexpr std::size_t kLengthBytes = 4;

void PutInt16(std::string& out, std::uint32_t value) {
  out.push_back(static_cast<char>(value >> 8U));
  out.push_back(static_cast<char>(value));
}

void PutInt32(std::string& out, std::uint32_t value) {
  PutInt16(out, value >> 16U);
  PutInt16(out, value & 0xFFFFU);
}

void PutText(std::string& out, std::string_view text) {
  out.append(text);
  out.push_back('\0');
}

}  // namespace

std::uint16_t wire_reader::Int16() {
  const std::string bytes = Bytes(2);
  return failed_ ? 0
                 : static_cast<std::uint16_t>(
                       (static_cast<unsigned char>(bytes[0]) << 8U) |
                       static_cast<unsigned char>(bytes[1]));
}

std::uint32_t wire_reader::Int32() {
  const std::uint32_t high = Int16();
  return (high << 16U) | Int16();
}

std::string wire_reader::Text() {
  const std::size_t end = remaining_.find('\0');
  if (end == std::string_view::npos) {
    failed_ = true;
    return "";
  }
  std::string text(remaining_.substr(0, end));
  remaining_.remove_prefix(end + 1);
  return text;
}

std::string wire_reader::Bytes(std::size_t size) {
  if (size > remaining_.size()) {
    failed_ = true;
    return "";
  }
  std::string bytes(remaining_.substr(0, size));
  remaining_.remove_prefix(size);
  return bytes;
}

void wire_writer::Message(char type, std::string_view body) {
  out_.push_back(type);
  PutInt32(out_, static_cast<std::uint32_t>(body.size() + kLengthBytes));
  out_.append(body);
}

void wire_writer::AuthenticationOk() {
  Message('R', std::string_view("\0\0\0\0", kLengthBytes));
}

void wire_writer::ParameterStatus(std::string_view name,
                                  std::string_view value) {
  std::string body;
  PutText(body, name);
  PutText(body, value);
  Message('S', body);
}

void wire_writer::ReadyForQuery(char transaction_state) {
  Message('Z', std::string_view(&transaction_state, 1));
}

void wire_writer::RowDescription(const std::vector<std::string>& columns) {
  std::string body;
  PutInt16(body, static_cast<std::uint32_t>(columns.size()));
  for (const std::string& column : columns) {
    PutText(body, column);
    PutInt32(body, 0);  // No table.
    PutInt16(body, 0);  // No column number.
    PutInt32(body, kTextTypeOid);
    PutInt16(body, 0xFFFFU);      // Variable size.
    PutInt32(body, 0xFFFFFFFFU);  // No type modifier.
    PutInt16(body, 0);            // Text format.
  }
  Message('T', body);
}

void wire_writer::DataRow(const std::vector<cell>& row) {
  std::string body;
  PutInt16(body, static_cast<std::uint32_t>(row.size()));
  for (const cell& value : row) {
    if (!value.has_value()) {
      PutInt32(body, 0xFFFFFFFFU);
      continue;
    }
    PutInt32(body, static_cast<std::uint32_t>(value->size()));
    body.append(*value);
  }
  Message('D', body);
}

void wire_writer::CommandComplete(std::string_view tag) {
  std::string body;
  PutText(body, tag);
  Message('C', body);
}

void wire_writer::Error(std::string_view sqlstate, std::string_view message) {
  std::string body;
  body.push_back('S');
  PutText(body, "ERROR");
  body.push_back('V');
  PutText(body, "ERROR");
  body.push_back('C');
  PutText(body, sqlstate);
  body.push_back('M');
  PutText(body, message);
  body.push_back('\0');
  Message('E', body);
}

std::string wire_writer::Take() {
  return std::exchange(out_, std::string());
}

std::optional<wire_message> TakeMessage(std::string& buffer, bool startup) {
  const std::size_t type_bytes = startup ? 0 : 1;
  if (buffer.size() < type_bytes + kLengthBytes) {
    return std::nullopt;
  }
  wire_reader reader(std::string_view(buffer).substr(type_bytes));
  const std::size_t length = reader.Int32();
  if (length < kLengthBytes || buffer.size() < type_bytes + length) {
    return std::nullopt;
  }
  wire_message message;
  message.type = startup ? '\0' : buffer[0];
  message.body =
      buffer.substr(type_bytes + kLengthBytes, length - kLengthBytes);
  buffer.erase(0, type_bytes + length);
  return message;
}

}  // namespace plantaintiller::standin
