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
constexpr std::size_t kMaxBytes = 65536;
constexpr std::size_t kWordBytes = 8;
// Layout: checksum and deployment, then database, term and offset of each
// position.
constexpr std::size_t kHeaderWords = 2;
constexpr std::size_t kPositionWords = 3;

void AppendWord(std::string& out, std::uint64_t value) {
  for (std::size_t n = 0; n < kWordBytes; ++n) {
    out.push_back(static_cast<char>(value >> (8U * (kWordBytes - 1 - n))));
  }
}

std::uint64_t ReadWord(std::string_view bytes, std::size_t index) {
  std::uint64_t value = 0;
  for (const char byte : bytes.substr(index * kWordBytes, kWordBytes)) {
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
  AppendWord(content, Hash(deployment));
  for (const auto& [database, position] : positions_) {
    AppendWord(content, database.value);
    AppendWord(content, position.entry_term);
    AppendWord(content, position.offset);
  }
  std::string bytes;
  AppendWord(bytes, Hash(content));
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
      text.size() <= kMaxBytes &&
      std::all_of(text.begin() + kPrefix.size(), text.end(), IsHex);
  if (!well_formed) {
    return Fail(error_type::kBadToken, "session_token", "not a session token");
  }
  std::string bytes;
  boost::algorithm::unhex(text.substr(kPrefix.size()),
                          std::back_inserter(bytes));
  const std::size_t words = bytes.size() / kWordBytes;
  const bool valid_size = bytes.size() % kWordBytes == 0 &&
                          words >= kHeaderWords &&
                          (words - kHeaderWords) % kPositionWords == 0;
  if (!valid_size ||
      ReadWord(bytes, 0) != Hash(std::string_view(bytes).substr(kWordBytes))) {
    return Fail(error_type::kBadToken, "session_token", "damaged");
  }
  if (ReadWord(bytes, 1) != Hash(deployment)) {
    return Fail(error_type::kForeignToken, "session_token",
                "belongs to another deployment");
  }
  session_token token;
  for (std::size_t n = kHeaderWords; n < words; n += kPositionWords) {
    const std::uint64_t database = ReadWord(bytes, n);
    if (database > UINT32_MAX) {
      return Fail(error_type::kBadToken, "session_token", "damaged");
    }
    token.Raise({static_cast<std::uint32_t>(database)},
                {ReadWord(bytes, n + 1), ReadWord(bytes, n + 2)});
  }
  return token;
}

}  // namespace plantaintiller::core
