#include "plantaintiller/forwarding/frame_codec.h"

#include <doctest/doctest.h>

#include <cstring>
#include <random>
#include <string>

namespace plantaintiller::forwarding {

namespace {

frame_batch RandomBatch(std::mt19937_64& random) {
  frame_batch batch;
  batch.configuration_version = random();
  batch.ping = random() % 2 == 0;
  const std::size_t count = random() % 5;
  for (std::size_t n = 0; n < count; ++n) {
    session_frame frame;
    frame.session = random();
    frame.kind = static_cast<frame_kind>(random() % 6);
    frame.bytes.assign(random() % 300, static_cast<char>(random()));
    frame.answered_bytes = random();
    frame.in_transaction = random() % 2 == 0;
    batch.frames.push_back(frame);
  }
  return batch;
}

}  // namespace

TEST_CASE("frame_codec: batches are decoded from pieces of any size") {
  std::mt19937_64 random(1);
  for (int round = 0; round < 200; ++round) {
    const frame_batch first = RandomBatch(random);
    const frame_batch second = RandomBatch(random);
    std::string sent;
    AppendBatch(sent, first);
    AppendBatch(sent, second);
    std::string buffer;
    std::vector<frame_batch> read;
    for (std::size_t offset = 0; offset < sent.size();) {
      const std::size_t size =
          std::min<std::size_t>(1 + random() % 90, sent.size() - offset);
      buffer.append(sent, offset, size);
      offset += size;
      frame_batch batch;
      while (ExtractBatch(buffer, batch) == batch_state::kComplete) {
        read.push_back(batch);
      }
    }
    REQUIRE(read.size() == 2);
    CHECK(read[0] == first);
    CHECK(read[1] == second);
    CHECK(buffer.empty());
  }
}

TEST_CASE("frame_codec: a length above the limit is malformed") {
  const std::uint32_t size = kMaxBatchBytes + 8;
  std::string buffer(sizeof(size), '\0');
  std::memcpy(buffer.data(), &size, sizeof(size));
  frame_batch batch;
  CHECK(ExtractBatch(buffer, batch) == batch_state::kMalformed);
}

TEST_CASE("frame_codec: damaged bytes do not crash the decoder") {
  std::mt19937_64 random(2);
  int malformed = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string buffer;
    AppendBatch(buffer, RandomBatch(random));
    const std::size_t damaged = 1 + random() % 4;
    for (std::size_t n = 0; n < damaged; ++n) {
      buffer[random() % buffer.size()] = static_cast<char>(random());
    }
    frame_batch batch;
    malformed += ExtractBatch(buffer, batch) == batch_state::kMalformed ? 1 : 0;
  }
  CHECK(malformed > 0);
}

}  // namespace plantaintiller::forwarding
