#include "plantaintiller/gateway/member_codec.h"

#include <boost/json.hpp>

namespace plantaintiller::gateway {

namespace {

namespace json = boost::json;

std::optional<replication::server_entry> DecodeMember(const json::value& from) {
  const json::object* fields = from.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  const auto text = [fields](const char* name, std::string& value) {
    const json::value* found = fields->if_contains(name);
    if (found == nullptr || !found->is_string()) {
      return false;
    }
    value = std::string(found->as_string());
    return true;
  };
  const json::value* born = fields->if_contains("born_ms");
  const json::value* draining = fields->if_contains("draining");
  replication::server_entry entry;
  if (!text("id", entry.id) || !text("address", entry.address) ||
      !text("zone", entry.zone) || born == nullptr || !born->is_int64() ||
      draining == nullptr || !draining->is_bool()) {
    return std::nullopt;
  }
  entry.born_ms = born->as_int64();
  entry.draining = draining->as_bool();
  return entry;
}

}  // namespace

std::string EncodeMembers(
    const std::vector<replication::server_entry>& members) {
  json::array rows;
  for (const replication::server_entry& each : members) {
    rows.push_back(json::object{{"id", each.id},
                                {"address", each.address},
                                {"zone", each.zone},
                                {"born_ms", each.born_ms},
                                {"draining", each.draining}});
  }
  return json::serialize(rows);
}

std::optional<std::vector<replication::server_entry>> DecodeMembers(
    const std::string& group,
    const std::string& text) {
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_array()) {
    return std::nullopt;
  }
  std::vector<replication::server_entry> members;
  for (const json::value& each : parsed.as_array()) {
    std::optional<replication::server_entry> entry = DecodeMember(each);
    if (!entry.has_value()) {
      return std::nullopt;
    }
    entry->group = group;
    members.push_back(std::move(*entry));
  }
  return members;
}

}  // namespace plantaintiller::gateway
