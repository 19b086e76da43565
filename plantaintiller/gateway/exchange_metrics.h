#pragma once

#include "plantaintiller/gateway/peer_exchange.h"
#include "plantaintiller/gateway/statement_metrics.h"

namespace plantaintiller::gateway {

/// Sets the gauges of messages and bytes sent to other instances, by kind.
void SetExchangeMetrics(const exchange_counts& counts,
                        statement_metrics& metrics);

}  // namespace plantaintiller::gateway
