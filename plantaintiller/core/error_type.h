#pragma once

#include <cstdint>
#include <string>

namespace plantaintiller::core {

/// Types of errors other than the refusal of a statement.
enum class error_type : std::uint8_t {
  kBadSetting,
  kUnknownSetting,
  kSettingClash,
  kBadJson,
  kBadConfiguration,
  kContradictoryAnswers,
  kBadToken,
  kForeignToken,
  kUnavailable,
  kConflict,
  kNotFound,
  kTimeout,
};

/// Error with its type, its subject and a description.
struct error {
  error_type type = error_type::kUnavailable;
  /// Setting, field or address that caused the error.
  std::string subject;
  /// Human-readable sentence that describes the error.
  std::string detail;
};

}  // namespace plantaintiller::core
