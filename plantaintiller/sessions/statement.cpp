#include "plantaintiller/sessions/statement.h"

namespace plantaintiller::sessions {

const char* FailureName(failure_code code) {
  switch (code) {
    case failure_code::kBusy:
      return "busy";
    case failure_code::kAborted:
      return "aborted";
    case failure_code::kLagging:
      return "lagging";
    case failure_code::kReadOnly:
      return "read_only";
    case failure_code::kWrongServer:
      return "wrong_server";
    case failure_code::kTooManyConnections:
      return "too_many_connections";
    case failure_code::kInDoubt:
      return "in_doubt";
    case failure_code::kTimeout:
      return "timeout";
    case failure_code::kFailed:
      return "failed";
    case failure_code::kNoStatement:
      return "no_statement";
    case failure_code::kUnknownDatabase:
      return "unknown_database";
    case failure_code::kNotAuthorized:
      return "not_authorized";
    case failure_code::kMalformed:
      return "malformed";
    case failure_code::kTooLarge:
      return "too_large";
    case failure_code::kOther:
      return "other";
  }
  return "other";
}

}  // namespace plantaintiller::sessions
