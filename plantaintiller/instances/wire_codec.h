#pragma once

#include "plantaintiller/decisions/instance_actions.h"
#include "plantaintiller/instances/instance.capnp.h"

namespace plantaintiller::instances {

/// Writes a forwarded statement. @param now times travel as spans from it.
void Encode(const decisions::forwarded_statement& from,
            core::time_point now,
            wire::Statement::Builder to);
/// Reads a forwarded statement; its ticket is left 0.
/// @param now when it was received.
decisions::forwarded_statement Decode(wire::Statement::Reader from,
                                      core::time_point now);

void Encode(const decisions::forwarded_reply& from, wire::Outcome::Builder to);
/// Reads a reply; its ticket is left 0.
decisions::forwarded_reply Decode(wire::Outcome::Reader from);

void Encode(const decisions::heartbeat& from, wire::Heartbeat::Builder to);
decisions::heartbeat Decode(wire::Heartbeat::Reader from);

}  // namespace plantaintiller::instances
