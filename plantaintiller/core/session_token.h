#pragma once

#include <map>
#include <string>

#include "plantaintiller/core/error.h"
#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/log_position.h"

namespace plantaintiller::core {

/// What a session has written and seen: a position a database. It travels with
/// the session and is kept nowhere else.
class session_token {
 public:
  /// Position that answers must cover. @return position 0 if there is none.
  log_position PositionOf(database_id database) const;
  /// Raises a database's position; lower ones change nothing.
  void Raise(database_id database, const log_position& position);

  /// Writes the token as text. @param deployment whose token it is.
  std::string Encode(const std::string& deployment) const;
  /// Reads a token.
  /// @param text as Encode gave it; empty text is an empty token.
  /// @return kBadToken if it is damaged, kForeignToken if it belongs to another
  /// deployment.
  static result<session_token> Decode(const std::string& text,
                                      const std::string& deployment);

  friend bool operator==(const session_token&, const session_token&) = default;

 private:
  std::map<database_id, log_position> positions_;
};

}  // namespace plantaintiller::core
