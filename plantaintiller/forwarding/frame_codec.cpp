#include "plantaintiller/forwarding/frame_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <array>
#include <cstring>
#include <string_view>

#include "plantaintiller/instances/forwarding.capnp.h"
#include "plantaintiller/instances/message_framing.h"

namespace plantaintiller::forwarding {

namespace {

namespace wire = instances::wire;

/// Stack space that holds a usual batch, in words.
constexpr std::size_t kScratchWords = 512;

kj::ArrayPtr<const kj::byte> Bytes(std::string_view text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string Text(kj::ArrayPtr<const kj::byte> bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

bool HasIdentity(const session_frame& frame) {
  return frame.identity != accounts::caller_identity{};
}

wire::SessionFrame::Kind ToWire(const session_frame& frame) {
  switch (frame.kind) {
    case frame_kind::kOpen:
      return HasIdentity(frame) ? wire::SessionFrame::Kind::OPEN_WITH_ACCOUNT
                                : wire::SessionFrame::Kind::OPEN;
    case frame_kind::kData:
      return wire::SessionFrame::Kind::DATA;
    case frame_kind::kCallerDisconnected:
      return wire::SessionFrame::Kind::GONE;
    case frame_kind::kRefuseFurtherWork:
      return wire::SessionFrame::Kind::ABANDON;
    case frame_kind::kClosed:
      return wire::SessionFrame::Kind::CLOSED;
    case frame_kind::kRefused:
      return wire::SessionFrame::Kind::REFUSED;
  }
  return wire::SessionFrame::Kind::CLOSED;
}

std::optional<frame_kind> FromWire(wire::SessionFrame::Kind kind) {
  switch (kind) {
    case wire::SessionFrame::Kind::OPEN:
    case wire::SessionFrame::Kind::OPEN_WITH_ACCOUNT:
      return frame_kind::kOpen;
    case wire::SessionFrame::Kind::DATA:
      return frame_kind::kData;
    case wire::SessionFrame::Kind::GONE:
      return frame_kind::kCallerDisconnected;
    case wire::SessionFrame::Kind::ABANDON:
      return frame_kind::kRefuseFurtherWork;
    case wire::SessionFrame::Kind::CLOSED:
      return frame_kind::kClosed;
    case wire::SessionFrame::Kind::REFUSED:
      return frame_kind::kRefused;
  }
  // A kind that a later version of the protocol adds.
  return std::nullopt;
}

/// Encodes the database and the caller of a session that is to be opened.
std::string EncodeOpening(const session_frame& frame) {
  capnp::MallocMessageBuilder message;
  auto opening = message.initRoot<wire::SessionOpening>();
  opening.setDatabase(Bytes(frame.bytes));
  opening.setAccount(Bytes(frame.identity.account));
  opening.setKeyDigest(Bytes(frame.identity.key_digest));
  const auto words = capnp::messageToFlatArray(message);
  return Text(words.asBytes());
}

void DecodeOpening(session_frame& frame) {
  const auto words =
      instances::CopyWords(frame.bytes.data(), frame.bytes.size());
  capnp::FlatArrayMessageReader reader(words);
  const auto opening = reader.getRoot<wire::SessionOpening>();
  frame.bytes = Text(opening.getDatabase());
  frame.identity.account = Text(opening.getAccount());
  frame.identity.key_digest = Text(opening.getKeyDigest());
}

bool Decode(wire::FrameBatch::Reader encoded, frame_batch& batch) {
  batch = {};
  batch.configuration_version = encoded.getConfigurationVersion();
  batch.ping = encoded.getPing();
  batch.frames.reserve(encoded.getFrames().size());
  for (const auto each : encoded.getFrames()) {
    const std::optional<frame_kind> kind = FromWire(each.getKind());
    if (!kind.has_value()) {
      return false;
    }
    session_frame& frame = batch.frames.emplace_back();
    frame.session = each.getSession();
    frame.kind = *kind;
    frame.bytes = Text(each.getBytes());
    if (each.getKind() == wire::SessionFrame::Kind::OPEN_WITH_ACCOUNT) {
      DecodeOpening(frame);
    }
    frame.answered_bytes = each.getSettled();
    frame.in_transaction = each.getInTransaction();
  }
  return true;
}

}  // namespace

void AppendBatch(std::string& out, const frame_batch& batch) {
  std::array<capnp::word, kScratchWords> scratch{};
  capnp::MallocMessageBuilder message(
      kj::ArrayPtr<capnp::word>(scratch.data(), scratch.size()));
  auto encoded = message.initRoot<wire::FrameBatch>();
  encoded.setConfigurationVersion(batch.configuration_version);
  encoded.setPing(batch.ping);
  auto frames = encoded.initFrames(static_cast<unsigned>(batch.frames.size()));
  for (unsigned n = 0; n < frames.size(); ++n) {
    const session_frame& each = batch.frames[n];
    frames[n].setSession(each.session);
    frames[n].setKind(ToWire(each));
    frames[n].setBytes(Bytes(each.kind == frame_kind::kOpen && HasIdentity(each)
                                 ? EncodeOpening(each)
                                 : each.bytes));
    frames[n].setSettled(each.answered_bytes);
    frames[n].setInTransaction(each.in_transaction);
  }
  instances::AppendFramed(out, message);
}

batch_state ExtractBatch(std::string& buffer, frame_batch& batch) {
  std::uint32_t size = 0;
  if (buffer.size() < sizeof(size)) {
    return batch_state::kIncomplete;
  }
  std::memcpy(&size, buffer.data(), sizeof(size));
  if (size > kMaxBatchBytes || size % sizeof(capnp::word) != 0) {
    return batch_state::kMalformed;
  }
  if (buffer.size() < sizeof(size) + size) {
    return batch_state::kIncomplete;
  }
  const auto words = instances::CopyWords(buffer.data() + sizeof(size), size);
  buffer.erase(0, sizeof(size) + size);
  try {
    capnp::FlatArrayMessageReader reader(words);
    return Decode(reader.getRoot<wire::FrameBatch>(), batch)
               ? batch_state::kComplete
               : batch_state::kMalformed;
  } catch (const kj::Exception&) {
    return batch_state::kMalformed;
  }
}

}  // namespace plantaintiller::forwarding
