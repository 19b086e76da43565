#include "plantaintiller/standin/log_follower.h"

#include <algorithm>
#include <string>
#include <utility>

#include "plantaintiller/standin/log_codec.h"

namespace plantaintiller::standin {

namespace {
constexpr core::milliseconds kFetchInterval{1};
constexpr core::milliseconds kRetryDelay{50};
}  // namespace

log_follower::log_follower(boost::asio::io_context& context, backend_node& node)
    : context_(context), node_(node), timer_(context) {}

log_follower::~log_follower() = default;

void log_follower::Follow(core::term_number term,
                          const primary_address& primary) {
  if (term <= term_) {
    return;
  }
  term_ = term;
  delayed_.clear();
  common_offset_candidate_ = node_.Log().Entries().size();
  connection_ = std::make_unique<backends::connection>(
      context_, backends::server_address{primary.host, primary.port,
                                         backends::kControlRole});
  ScheduleFetch(core::milliseconds(0));
}

void log_follower::Stop() {
  timer_.cancel();
  connection_.reset();
  delayed_.clear();
  term_ = std::max(term_, node_.State().adopted_term);
}

std::size_t log_follower::FetchedOffset() const {
  return common_offset_candidate_.value_or(node_.Log().Entries().size() +
                                           delayed_.size());
}

core::term_number log_follower::TermAt(std::size_t offset) const {
  const auto& entries = node_.Log().Entries();
  if (offset == 0) {
    return 0;
  }
  if (offset <= entries.size()) {
    return entries[offset - 1].term;
  }
  return delayed_[offset - entries.size() - 1].entry.term;
}

void log_follower::ScheduleFetch(core::milliseconds delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      ApplyDue();
      Fetch();
    }
  });
}

void log_follower::Fetch() {
  if (connection_ == nullptr || connection_->IsBusy()) {
    return;
  }
  const std::size_t offset = FetchedOffset();
  backends::batch_step step;
  step.sql = "SELECT * FROM plantaintiller_log($1, $2, $3)";
  step.params = {std::to_string(term_), std::to_string(offset),
                 std::to_string(TermAt(offset))};
  step.sync_after = true;
  connection_->Run(
      {std::move(step)},
      [this](const backends::batch_result& result) { OnFetched(result); });
}

void log_follower::OnFetched(const backends::batch_result& result) {
  const bool answered = result.status == backends::batch_status::kAnswered &&
                        result.steps[0].status == backends::step_status::kDone;
  if (!answered) {
    ScheduleFetch(kRetryDelay);
    return;
  }
  OnEntries(result.steps[0]);
  ApplyDue();
  ScheduleFetch(kFetchInterval);
}

void log_follower::OnEntries(const backends::step_result& rows) {
  // The first row states whether the logs agree at the requested offset. If
  // they do not, it gives the length of the primary's log and its term at that
  // offset.
  const auto& head = rows.rows.at(0);
  const bool agrees = *head.at(0) == "1";
  if (!agrees) {
    const std::size_t length = std::stoull(*head.at(1));
    const core::term_number term = std::stoull(*head.at(2));
    std::size_t next = std::min(FetchedOffset(), length + 1);
    next = next == 0 ? 0 : next - 1;
    while (next > 0 && TermAt(next) > term) {
      next -= 1;
    }
    common_offset_candidate_ = next;
    return;
  }
  if (common_offset_candidate_.has_value()) {
    node_.AdoptAsFollower(term_, *common_offset_candidate_);
    common_offset_candidate_.reset();
  }
  const core::time_point due = core::clock::now() + lag_;
  for (std::size_t n = 1; n < rows.rows.size(); ++n) {
    const auto& row = rows.rows[n];
    delayed_.push_back(
        {due, {std::stoull(*row.at(2)), LogContentFromText(*row.at(3))}});
  }
}

void log_follower::ApplyDue() {
  const core::time_point now = core::clock::now();
  while (!delayed_.empty() && delayed_.front().due <= now) {
    node_.Apply(delayed_.front().entry);
    delayed_.pop_front();
  }
}

}  // namespace plantaintiller::standin
