#pragma once

#include <capnp/message.h>
#include <kj/array.h>

#include <cstddef>
#include <string>

namespace plantaintiller::instances {

/// Appends a message as its length, in four bytes of this machine's order, and
/// its words.
void AppendFramed(std::string& out, capnp::MessageBuilder& message);

/// Copies bytes to where words may be read. What is left over of a word is
/// dropped.
kj::Array<capnp::word> CopyWords(const char* data, std::size_t size);

}  // namespace plantaintiller::instances
