#include "plantaintiller/forwarding/frame_codec.h"

#include <doctest/doctest.h>

#include <cstring>
#include <random>
#include <string>

namespace plantaintiller::forwarding {

namespace {

frame_batch DrawBatch(std::mt19937_64& random) {
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

TEST_CASE("frame_codec: what was sent is read, however it is cut") {
  std::mt19937_64 random(1);
  for (int round = 0; round < 200; ++round) {
    const frame_batch first = DrawBatch(random);
    const frame_batch second = DrawBatch(random);
    std::string sent;
    AppendBatch(sent, first);
    AppendBatch(sent, second);
    std::string buffer;
    std::vector<frame_batch> read;
    for (std::size_t place = 0; place < sent.size();) {
      const std::size_t size =
          std::min<std::size_t>(1 + random() % 90, sent.size() - place);
      buffer.append(sent, place, size);
      place += size;
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

TEST_CASE("frame_codec: a length above the limit is garbled") {
  const std::uint32_t size = kMaxBatchBytes + 8;
  std::string buffer(sizeof(size), '\0');
  std::memcpy(buffer.data(), &size, sizeof(size));
  frame_batch batch;
  CHECK(ExtractBatch(buffer, batch) == batch_state::kMalformed);
}

TEST_CASE("frame_codec: damaged bytes end in an answer, never in a crash") {
  std::mt19937_64 random(2);
  int garbled = 0;
  for (int round = 0; round < 3000; ++round) {
    std::string buffer;
    AppendBatch(buffer, DrawBatch(random));
    const std::size_t hits = 1 + random() % 4;
    for (std::size_t n = 0; n < hits; ++n) {
      buffer[random() % buffer.size()] = static_cast<char>(random());
    }
    frame_batch batch;
    garbled += ExtractBatch(buffer, batch) == batch_state::kMalformed ? 1 : 0;
  }
  CHECK(garbled > 0);
}

}  // namespace plantaintiller::forwarding
