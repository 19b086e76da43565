#pragma once

#include <cstddef>

#include "plantaintiller/backends/messages.h"
#include "plantaintiller/callers/messages.h"
#include "plantaintiller/core/channel.h"
#include "plantaintiller/instances/messages.h"
#include "plantaintiller/operators/messages.h"
#include "plantaintiller/tables/messages.h"

namespace plantaintiller::serve {

/// The bounded rings between the decisions and the other duties.
///
/// Rings that carry answers hold more than can be outstanding at a time, so
/// that only those that carry new work can be found full.
struct channels {
  static constexpr std::size_t kWork = 4096;
  static constexpr std::size_t kAnswers = 16384;
  static constexpr std::size_t kOperators = 64;

  core::channel<callers::statement_event> from_callers{kWork};
  core::channel<callers::command> to_callers{kAnswers};
  core::channel<backends::event> from_backends{kAnswers};
  core::channel<backends::command> to_backends{kAnswers};
  core::channel<instances::event> from_instances{kAnswers};
  core::channel<instances::command> to_instances{kAnswers};
  core::channel<tables::event> from_platform{kAnswers};
  core::channel<tables::command> to_platform{kAnswers};
  core::channel<operators::query> from_operators{kOperators};
  core::channel<operators::status_answer> to_operators{kOperators};
};

}  // namespace plantaintiller::serve
