#pragma once

#include <capnp/message.h>
#include <kj/array.h>

#include <cstddef>
#include <string>

namespace plantaintiller::instances {

/// Appends a message with a length prefix: the size in bytes as a 32-bit number
/// in this machine's byte order, then the message's words.
/// @param out buffer that the message is appended to.
void AppendFramed(std::string& out, capnp::MessageBuilder& message);

/// Copies bytes into memory aligned for words, as Cap'n Proto requires.
/// @param size number of bytes at `data`; bytes after the last whole word are
/// dropped.
kj::Array<capnp::word> CopyWords(const char* data, std::size_t size);

}  // namespace plantaintiller::instances
