#include "plantaintiller/gateway/claim_codec.h"

#include <boost/json.hpp>

namespace plantaintiller::gateway {

std::string EncodeClaim(const replication::group_claim& claim) {
  boost::json::object row{{"token", claim.token},
                          {"holder", claim.holder},
                          {"nonce", claim.nonce},
                          {"claimed_at_ms", claim.claimed_at.count()},
                          {"settled", claim.settled}};
  if (claim.candidates.has_value()) {
    boost::json::object& candidates = row["candidates"].emplace_object();
    for (const auto& [server, given] : *claim.candidates) {
      candidates[server] = given.count();
    }
  }
  return boost::json::serialize(row);
}

std::optional<replication::group_claim> DecodeClaim(const std::string& text) {
  boost::system::error_code error;
  const boost::json::value parsed = boost::json::parse(text, error);
  if (error || !parsed.is_object()) {
    return std::nullopt;
  }
  const boost::json::object& object = parsed.as_object();
  const auto number = [&object](const char* name, std::uint64_t& value) {
    const boost::json::value* found = object.if_contains(name);
    boost::system::error_code failed;
    if (found != nullptr && found->is_number()) {
      value = found->to_number<std::uint64_t>(failed);
      return !failed;
    }
    return false;
  };
  replication::group_claim claim;
  std::uint64_t claimed_at = 0;
  const boost::json::value* holder = object.if_contains("holder");
  if (!number("token", claim.token) || !number("nonce", claim.nonce) ||
      !number("claimed_at_ms", claimed_at) || holder == nullptr ||
      !holder->is_string()) {
    return std::nullopt;
  }
  claim.holder = std::string(holder->as_string());
  claim.claimed_at = core::milliseconds(claimed_at);
  // A claim of an earlier release has no such field and counts as not settled.
  const boost::json::value* settled = object.if_contains("settled");
  claim.settled =
      settled != nullptr && settled->is_bool() && settled->as_bool();
  if (const boost::json::value* candidates = object.if_contains("candidates")) {
    if (!candidates->is_object()) {
      return std::nullopt;
    }
    claim.candidates.emplace();
    for (const auto& [server, given] : candidates->as_object()) {
      if (!given.is_int64()) {
        return std::nullopt;
      }
      (*claim.candidates)[std::string(server)] =
          core::milliseconds(given.as_int64());
    }
  }
  return claim;
}

}  // namespace plantaintiller::gateway
