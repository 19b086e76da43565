#pragma once

#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

#include "plantaintiller/core/error_type.h"

namespace plantaintiller::core {

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
