#include "plantaintiller/gateway/exchange_metrics.h"

namespace plantaintiller::gateway {

void SetExchangeMetrics(const exchange_counts& counts,
                        statement_metrics& metrics) {
  const auto set = [&metrics](const char* messages, const char* bytes,
                              const message_count& count) {
    metrics.Set(messages, count.messages);
    metrics.Set(bytes, count.bytes);
  };
  const auto heartbeats = [&counts](heartbeat_kind kind) {
    return counts.heartbeats.at(static_cast<std::size_t>(kind));
  };
  set("peer_heartbeats_sent", "peer_heartbeat_bytes_sent",
      heartbeats(heartbeat_kind::kRegular));
  set("peer_announcements_sent", "peer_announcement_bytes_sent",
      heartbeats(heartbeat_kind::kAnnouncement));
  set("peer_replies_sent", "peer_reply_bytes_sent",
      heartbeats(heartbeat_kind::kReply));
  set("peer_state_requests_sent", "peer_state_request_bytes_sent",
      counts.requests);
  set("peer_configurations_sent", "peer_configuration_bytes_sent",
      counts.configurations);
  set("peer_whole_lists_sent", "peer_whole_list_bytes_sent",
      counts.whole_lists);
  set("peer_list_changes_sent", "peer_list_change_bytes_sent",
      counts.list_changes);
}

}  // namespace plantaintiller::gateway
