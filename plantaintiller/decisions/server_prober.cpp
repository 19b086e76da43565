#include "plantaintiller/decisions/server_prober.h"

namespace plantaintiller::decisions {

server_prober::server_prober(core::backend_server_id server,
                             const prober_settings& settings)
    : server_(server), settings_(settings) {}

std::optional<server_probe> server_prober::NextProbe(
    const probe_need& need,
    core::term_number term,
    std::optional<std::uint64_t> known_offset,
    core::time_point now) {
  if (outstanding_ && now - sent_at_ < settings_.timeout) {
    return std::nullopt;
  }
  const bool lacks_offset = need.any && known_offset.value_or(0) < need.offset;
  const bool lacks_time = need.any && sent_at_ < need.probed_since;
  const bool needed = lacks_offset || lacks_time;
  const core::milliseconds pause = failed_  ? settings_.failure_interval
                                   : needed ? settings_.busy_interval
                                            : settings_.idle_interval;
  if (!outstanding_ && !probe_immediately_ && now - sent_at_ < pause) {
    return std::nullopt;
  }
  outstanding_ = true;
  probe_immediately_ = false;
  last_id_ += 1;
  sent_at_ = now;
  server_probe probe;
  probe.id = last_id_;
  probe.server = server_;
  if (lacks_offset && !lacks_time && known_offset.has_value()) {
    // The server answers as soon as it has a new log entry.
    probe.wait_term = term;
    probe.wait_offset = *known_offset + 1;
    probe.max_wait = settings_.max_wait;
  }
  return probe;
}

std::optional<core::time_point> server_prober::OnAnswer(std::uint64_t id) {
  if (!outstanding_ || id != last_id_) {
    return std::nullopt;
  }
  outstanding_ = false;
  failed_ = false;
  return sent_at_;
}

bool server_prober::OnFailure(std::uint64_t id) {
  const bool current = outstanding_ && id == last_id_;
  if (current) {
    outstanding_ = false;
    failed_ = true;
  }
  return current;
}

}  // namespace plantaintiller::decisions
