#pragma once

#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/instances/instance.capnp.h"

namespace plantaintiller::instances {

/// Encodes a forwarded statement.
/// @param now current time; times are sent as durations relative to it.
void Encode(const decisions::forwarded_statement& from,
            core::time_point now,
            wire::Statement::Builder to);
/// Decodes a forwarded statement; its ticket remains 0.
/// @param now time of receipt; the sent durations are relative to it.
decisions::forwarded_statement Decode(wire::Statement::Reader from,
                                      core::time_point now);

void Encode(const decisions::forwarded_reply& from, wire::Outcome::Builder to);
/// Decodes a reply; its ticket remains 0.
decisions::forwarded_reply Decode(wire::Outcome::Reader from);

void Encode(const decisions::heartbeat& from, wire::Heartbeat::Builder to);
decisions::heartbeat Decode(wire::Heartbeat::Reader from);

}  // namespace plantaintiller::instances
