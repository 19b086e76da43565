#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <utility>

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

template <class value>
using result = boost::leaf::result<value>;

/// Makes the error of a failed result.
inline boost::leaf::error_id Fail(error_type type,
                                  std::string subject,
                                  std::string detail) {
  return boost::leaf::new_error(
      error{type, std::move(subject), std::move(detail)});
}

/// Name of an error's type. @return a string of static storage.
const char* ErrorName(error_type type);

}  // namespace plantaintiller::core
