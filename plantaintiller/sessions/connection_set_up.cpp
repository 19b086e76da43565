#include "plantaintiller/sessions/connection_set_up.h"

#include <algorithm>
#include <utility>

namespace plantaintiller::sessions {

std::size_t connection_set_up::Append(
    server_codec& codec,
    const connection_state& state,
    const std::map<std::string, std::string>& values,
    const prepared_statement* statement,
    std::string& out) {
  unanswered_.clear();
  refusal_.reset();
  unclear_ = false;
  // A value can only be removed together with everything else.
  const bool resets = std::any_of(
      state.values.begin(), state.values.end(),
      [&](const auto& each) { return !values.contains(each.first); });
  if (resets) {
    codec.AppendReset(out);
    unanswered_.push_back({command::kReset, "", ""});
  }
  for (const auto& [name, value] : values) {
    const auto found = state.values.find(name);
    if (resets || found == state.values.end() || found->second != value) {
      codec.AppendSet(out, name, value);
      unanswered_.push_back({command::kSet, name, value});
    }
  }
  if (statement != nullptr &&
      (resets || !state.prepared.contains(statement->server_name))) {
    codec.AppendPrepare(out, statement->server_name, statement->writes,
                        statement->shape);
    unanswered_.push_back({command::kPrepare, statement->server_name, ""});
  }
  return unanswered_.size();
}

void connection_set_up::OnAnswer(const server_reply& reply,
                                 connection_state& state) {
  const sent_command sent = std::move(unanswered_.front());
  unanswered_.pop_front();
  unclear_ |= reply.may_be_repeated;
  if (reply.succeeded) {
    Apply(sent, state);
  } else {
    unclear_ |= reply.failure != failure_code::kBusy;
    refusal_ = refusal_.value_or(reply.failure);
  }
  if (refusal_.has_value() && unclear_) {
    state.is_known = false;
  }
}

void connection_set_up::Apply(const sent_command& sent,
                              connection_state& state) const {
  switch (sent.kind) {
    case command::kReset:
      state.values.clear();
      state.prepared.clear();
      return;
    case command::kSet:
      state.values[sent.name] = sent.value;
      return;
    case command::kPrepare:
      state.prepared.insert(sent.name);
      return;
  }
}

}  // namespace plantaintiller::sessions
