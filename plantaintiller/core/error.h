#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <utility>

namespace plantaintiller::core {

/// Kinds of failures outside the path of statements.
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

/// A failure: its type, what it is about, and what was expected.
struct error {
  error_type type = error_type::kUnavailable;
  /// Setting, field or address that the failure is about.
  std::string subject;
  /// One sentence for a person.
  std::string detail;
};

template <class value>
using result = boost::leaf::result<value>;

/// Makes a failed result.
inline boost::leaf::error_id Fail(error_type type,
                                  std::string subject,
                                  std::string detail) {
  return boost::leaf::new_error(
      error{type, std::move(subject), std::move(detail)});
}

/// Name of an error's type. @return a string of static storage.
const char* ErrorName(error_type type);

}  // namespace plantaintiller::core
