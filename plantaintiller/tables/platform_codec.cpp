#include "plantaintiller/tables/platform_codec.h"

namespace plantaintiller::tables {

namespace {

using boost::json::object;
using boost::json::value;

std::optional<std::uint64_t> NumberOf(const object& fields, const char* name) {
  const value* field = fields.if_contains(name);
  if (field == nullptr) {
    return std::nullopt;
  }
  boost::json::error_code error;
  const auto number = field->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::string TextOf(const object& fields, const char* name) {
  const value* field = fields.if_contains(name);
  return field != nullptr && field->is_string()
             ? std::string(field->get_string())
             : std::string();
}

}  // namespace

std::string GroupRecordKey(core::database_id database) {
  return "group." + std::to_string(database.value);
}

value ToJson(const core::group_record& record) {
  return object{{"term", record.term},
                {"primary", record.primary},
                {"confirming", record.confirming.Bits()},
                {"promotable", record.promotable.Bits()},
                {"nonce", record.nonce}};
}

std::optional<core::group_record> GroupRecordFromJson(const value& json,
                                                      std::uint64_t version) {
  const object* fields = json.if_object();
  if (fields == nullptr) {
    return std::nullopt;
  }
  const auto term = NumberOf(*fields, "term");
  const auto primary = NumberOf(*fields, "primary");
  const auto confirming = NumberOf(*fields, "confirming");
  const auto promotable = NumberOf(*fields, "promotable");
  const auto nonce = NumberOf(*fields, "nonce");
  const bool complete = term && primary && confirming && promotable && nonce;
  if (!complete || *primary >= core::kMaxSlots || *confirming > UINT8_MAX ||
      *promotable > UINT8_MAX) {
    return std::nullopt;
  }
  core::group_record record;
  record.term = *term;
  record.primary = static_cast<core::slot_number>(*primary);
  record.confirming = core::server_set(static_cast<std::uint8_t>(*confirming));
  record.promotable = core::server_set(static_cast<std::uint8_t>(*promotable));
  record.nonce = *nonce;
  record.version = version;
  return record;
}

decisions::compare_and_set_status CompareAndSetStatusOf(int http_status) {
  using decisions::compare_and_set_status;
  constexpr int kFirstServerError = 500;
  constexpr int kUnavailable = 503;
  switch (http_status) {
    case 200:
      return compare_and_set_status::kApplied;
    case 404:
    case 409:
      return compare_and_set_status::kConflict;
    default:
      // Other server errors may have occurred after the change.
      return http_status < kFirstServerError || http_status == kUnavailable
                 ? compare_and_set_status::kUnavailable
                 : compare_and_set_status::kUnknown;
  }
}

std::vector<core::instance_entry> InstanceListFromJson(const value& json) {
  std::vector<core::instance_entry> list;
  const object* fields = json.if_object();
  const value* entries =
      fields == nullptr ? nullptr : fields->if_contains("instances");
  if (entries == nullptr || !entries->is_array()) {
    return list;
  }
  for (const value& each : entries->get_array()) {
    const object* entry = each.if_object();
    if (entry == nullptr) {
      continue;
    }
    const auto id = NumberOf(*entry, "id");
    const auto port = NumberOf(*entry, "port");
    const std::string zone = TextOf(*entry, "availability_zone");
    if (!id || !port || *port > UINT16_MAX || zone.empty()) {
      continue;
    }
    list.push_back({{static_cast<std::uint32_t>(*id)},
                    core::ZoneIdOf(zone),
                    TextOf(*entry, "host"),
                    static_cast<std::uint16_t>(*port),
                    TextOf(*entry, "state") == "leaving"
                        ? core::instance_state::kLeaving
                        : core::instance_state::kLive});
  }
  return list;
}

}  // namespace plantaintiller::tables
