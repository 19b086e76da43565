#pragma once

#include <map>
#include <string>

#include "plantaintiller/core/error.h"
#include "plantaintiller/core/ids.h"
#include "plantaintiller/core/log_position.h"

namespace plantaintiller::core {

/// Log positions that a session has written or read, one per database. The
/// token is passed along with the session and is stored nowhere else.
class session_token {
 public:
  /// Position that answers must cover. @return position 0 if there is none.
  log_position PositionOf(database_id database) const;
  /// Raises a database's position; a lower position is ignored.
  void Raise(database_id database, const log_position& position);

  /// Encodes the token as text. @param deployment to which the token belongs.
  std::string Encode(const std::string& deployment) const;
  /// Decodes a token.
  /// @param text as returned by Encode; empty text is an empty token.
  /// @return kBadToken if it is damaged, kForeignToken if it belongs to another
  /// deployment.
  static result<session_token> Decode(const std::string& text,
                                      const std::string& deployment);

  friend bool operator==(const session_token&, const session_token&) = default;

 private:
  std::map<database_id, log_position> positions_;
};

}  // namespace plantaintiller::core
