#pragma once

#include <cstddef>

#include "plantaintiller/backends/messages.h"
#include "plantaintiller/callers/messages.h"
#include "plantaintiller/core/channel.h"
#include "plantaintiller/instances/messages.h"
#include "plantaintiller/operators/messages.h"
#include "plantaintiller/tables/messages.h"

namespace plantaintiller::serve {

/// The bounded channels between the decision duty and the other duties.
///
/// The capacity of a channel that carries answers exceeds the number of
/// requests that can be outstanding at a time, so that only channels that carry
/// new work can be full.
struct channels {
  static constexpr std::size_t kWorkCapacity = 4096;
  static constexpr std::size_t kAnswerCapacity = 16384;
  static constexpr std::size_t kOperatorCapacity = 64;

  core::channel<callers::statement_event> from_callers{kWorkCapacity};
  core::channel<callers::command> to_callers{kAnswerCapacity};
  core::channel<backends::event> from_backends{kAnswerCapacity};
  core::channel<backends::command> to_backends{kAnswerCapacity};
  core::channel<instances::event> from_instances{kAnswerCapacity};
  core::channel<instances::command> to_instances{kAnswerCapacity};
  core::channel<tables::event> from_platform{kAnswerCapacity};
  core::channel<tables::command> to_platform{kAnswerCapacity};
  core::channel<operators::query> from_operators{kOperatorCapacity};
  core::channel<operators::status_answer> to_operators{kOperatorCapacity};
};

}  // namespace plantaintiller::serve
