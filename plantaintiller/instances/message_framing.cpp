#include "plantaintiller/instances/message_framing.h"

#include <capnp/serialize.h>

#include <array>
#include <cstdint>
#include <cstring>

namespace plantaintiller::instances {

void AppendFramed(std::string& out, capnp::MessageBuilder& message) {
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
  const auto bytes = words.asBytes();
  const auto size = static_cast<std::uint32_t>(bytes.size());
  std::array<char, sizeof(size)> length{};
  std::memcpy(length.data(), &size, sizeof(size));
  out.append(length.data(), length.size());
  out.append(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
}

kj::Array<capnp::word> CopyWords(const char* data, std::size_t size) {
  auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  std::memcpy(words.begin(), data, words.size() * sizeof(capnp::word));
  return words;
}

}  // namespace plantaintiller::instances
