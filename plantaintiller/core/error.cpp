#include "plantaintiller/core/error.h"

namespace plantaintiller::core {

const char* ErrorName(error_type type) {
  switch (type) {
    case error_type::kBadSetting:
      return "bad_setting";
    case error_type::kUnknownSetting:
      return "unknown_setting";
    case error_type::kSettingClash:
      return "setting_clash";
    case error_type::kBadJson:
      return "bad_json";
    case error_type::kBadConfiguration:
      return "bad_configuration";
    case error_type::kContradictoryAnswers:
      return "contradictory_answers";
    case error_type::kBadToken:
      return "bad_token";
    case error_type::kForeignToken:
      return "foreign_token";
    case error_type::kUnavailable:
      return "unavailable";
    case error_type::kConflict:
      return "conflict";
    case error_type::kNotFound:
      return "not_found";
    case error_type::kTimeout:
      return "timeout";
  }
  return "unknown";
}

}  // namespace plantaintiller::core
