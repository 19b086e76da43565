#include "plantaintiller/serve/decision_log.h"

#include <sstream>

namespace plantaintiller::serve {

namespace {

using decisions::decision_kind;

struct decision_message {
  const char* prefix;
  const char* text;
};

decision_message MessageFor(decision_kind kind) {
  switch (kind) {
    case decision_kind::kRouteWrite:
      return {"router", "write to the primary."};
    case decision_kind::kRouteReplica:
      return {"router", "read at a replica."};
    case decision_kind::kRoutePrimary:
      return {"router", "read at the primary."};
    case decision_kind::kResolveOutcome:
      return {"router", "find out the outcome of a write."};
    case decision_kind::kPlaceConnections:
      return {"placement", "connections held here changed."};
    case decision_kind::kProposePromotion:
      return {"groups", "primary silent; propose another."};
    case decision_kind::kProposeShrink:
      return {"groups", "server holds up answers; propose to drop it."};
    case decision_kind::kProposeGrow:
      return {"groups", "server keeps up; propose to add it."};
    case decision_kind::kProposeAdmit:
      return {"groups",
              "server has the term's first entry; propose to admit it."};
    case decision_kind::kProposeFirstRecord:
      return {"groups", "no record; propose the first."};
    case decision_kind::kAdoptRecord:
      return {"groups", "record adopted."};
    case decision_kind::kAdoptConfiguration:
      return {"configuration", "configuration in force."};
    case decision_kind::kPeerLost:
      return {"membership", "instance silent."};
    case decision_kind::kPeerFound:
      return {"membership", "instance found."};
  }
  return {"decisions", "unknown decision."};
}

bool IsAboutServer(decision_kind kind) {
  return kind != decision_kind::kAdoptConfiguration &&
         kind != decision_kind::kPeerLost && kind != decision_kind::kPeerFound;
}

}  // namespace

std::string FormatDecision(const decisions::decision_log_entry& entry,
                           const core::configuration* configuration) {
  const decision_message message = MessageFor(entry.kind);
  std::ostringstream line;
  line << message.prefix << ": " << message.text;
  if (IsAboutServer(entry.kind)) {
    const core::database_settings* database =
        configuration == nullptr ? nullptr
                                 : configuration->Find(entry.server.database);
    line << " database="
         << (database == nullptr ? std::to_string(entry.server.database.value)
                                 : database->name)
         << " server=" << static_cast<int>(entry.server.slot);
  }
  switch (entry.kind) {
    case decision_kind::kAdoptConfiguration:
      line << " version=" << entry.term;
      break;
    case decision_kind::kPlaceConnections:
      line << " connections=" << entry.term;
      break;
    case decision_kind::kRouteWrite:
    case decision_kind::kRouteReplica:
    case decision_kind::kRoutePrimary:
    case decision_kind::kResolveOutcome:
    case decision_kind::kPeerLost:
    case decision_kind::kPeerFound:
      line << " instance=" << entry.instance.value;
      break;
    default:
      line << " term=" << entry.term;
      break;
  }
  return line.str();
}

}  // namespace plantaintiller::serve
