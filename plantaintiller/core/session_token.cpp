#include "plantaintiller/core/session_token.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/algorithm/hex.hpp>
#include <cstdint>
#include <iterator>
#include <string_view>

namespace plantaintiller::core {

namespace {

constexpr std::string_view kPrefix = "pt1.";
constexpr std::size_t kMostBytes = 65536;
constexpr std::size_t kNumberBytes = 8;
// Checksum, deployment, then database, term and offset for each position.
constexpr std::size_t kHeadNumbers = 2;
constexpr std::size_t kEntryNumbers = 3;

void Put(std::string& out, std::uint64_t value) {
  for (std::size_t n = 0; n < kNumberBytes; ++n) {
    out.push_back(static_cast<char>(value >> (8U * (kNumberBytes - 1 - n))));
  }
}

std::uint64_t Get(std::string_view bytes, std::size_t number) {
  std::uint64_t value = 0;
  for (const char byte : bytes.substr(number * kNumberBytes, kNumberBytes)) {
    value = (value << 8U) | static_cast<unsigned char>(byte);
  }
  return value;
}

std::uint64_t Hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

bool IsHex(char character) {
  return (character >= '0' && character <= '9') ||
         (character >= 'A' && character <= 'F');
}

}  // namespace

log_position session_token::PositionOf(database_id database) const {
  const auto found = positions_.find(database);
  return found == positions_.end() ? log_position() : found->second;
}

void session_token::Raise(database_id database, const log_position& position) {
  log_position& known = positions_[database];
  known = std::max(known, position);
}

std::string session_token::Encode(const std::string& deployment) const {
  std::string content;
  Put(content, Hash(deployment));
  for (const auto& [database, position] : positions_) {
    Put(content, database.value);
    Put(content, position.entry_term);
    Put(content, position.offset);
  }
  std::string bytes;
  Put(bytes, Hash(content));
  bytes += content;
  std::string text(kPrefix);
  boost::algorithm::hex(bytes, std::back_inserter(text));
  return text;
}

result<session_token> session_token::Decode(const std::string& text,
                                            const std::string& deployment) {
  if (text.empty()) {
    return session_token();
  }
  const bool well_formed =
      text.starts_with(kPrefix) && text.size() % 2 == 0 &&
      text.size() <= kMostBytes &&
      std::all_of(text.begin() + kPrefix.size(), text.end(), IsHex);
  if (!well_formed) {
    return Fail(error_type::kBadToken, "session_token", "not a session token");
  }
  std::string bytes;
  boost::algorithm::unhex(text.substr(kPrefix.size()),
                          std::back_inserter(bytes));
  const std::size_t numbers = bytes.size() / kNumberBytes;
  const bool whole = bytes.size() % kNumberBytes == 0 &&
                     numbers >= kHeadNumbers &&
                     (numbers - kHeadNumbers) % kEntryNumbers == 0;
  if (!whole ||
      Get(bytes, 0) != Hash(std::string_view(bytes).substr(kNumberBytes))) {
    return Fail(error_type::kBadToken, "session_token", "damaged");
  }
  if (Get(bytes, 1) != Hash(deployment)) {
    return Fail(error_type::kForeignToken, "session_token",
                "belongs to another deployment");
  }
  session_token token;
  for (std::size_t n = kHeadNumbers; n < numbers; n += kEntryNumbers) {
    const std::uint64_t database = Get(bytes, n);
    if (database > UINT32_MAX) {
      return Fail(error_type::kBadToken, "session_token", "damaged");
    }
    token.Raise({static_cast<std::uint32_t>(database)},
                {Get(bytes, n + 1), Get(bytes, n + 2)});
  }
  return token;
}

}  // namespace plantaintiller::core
