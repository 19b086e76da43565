#include "plantaintiller/tables/platform_duty.h"

#include <glog/logging.h>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>

#include "plantaintiller/config/configuration_codec.h"
#include "plantaintiller/tables/platform_codec.h"

namespace plantaintiller::tables {

namespace {

constexpr core::milliseconds kTimeout{500};
constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::string RowTarget(const std::string& key) {
  return "/v1/rows/" + key;
}

bool AnsweredWithoutServerError(http::exchange_status status,
                                const http::response& answer) {
  return status == http::exchange_status::kAnswered && answer.status < 500;
}

}  // namespace

platform_duty::platform_duty(boost::asio::io_context& context,
                             const std::string& host,
                             std::uint16_t port,
                             core::channel<event>& events)
    : events_(events),
      record_client_(context, host, port, kTimeout),
      background_client_(context, host, port, kTimeout) {}

platform_duty::~platform_duty() = default;

void platform_duty::Execute(const command& next_command) {
  std::visit([this](const auto& each) { Execute(each); }, next_command);
}

void platform_duty::Send(const event& new_event) {
  CHECK(events_.TrySend(new_event)) << "platform: event ring is full";
}

std::optional<platform_duty::row> platform_duty::ParseRow(
    const std::string& body) {
  boost::json::error_code error;
  boost::json::value parsed = boost::json::parse(body, error);
  const boost::json::object* fields = error ? nullptr : parsed.if_object();
  if (fields == nullptr || !fields->contains("version") ||
      !fields->contains("value")) {
    return std::nullopt;
  }
  row read;
  read.version = fields->at("version").to_number<std::uint64_t>(error);
  read.value = fields->at("value");
  return error ? std::nullopt : std::optional(std::move(read));
}

void platform_duty::Execute(const read_record_command& request) {
  const core::database_id database = request.database;
  record_client_.Send(
      {"GET", RowTarget(GroupRecordKey(database)), ""},
      [this, database](http::exchange_status status,
                       const http::response& answer) {
        record_event read;
        read.database = database;
        read.available = AnsweredWithoutServerError(status, answer) &&
                         (answer.status == kOk || answer.status == kNotFound);
        if (read.available && answer.status == kOk) {
          const std::optional<row> found = ParseRow(answer.body);
          if (found.has_value()) {
            read.record = GroupRecordFromJson(found->value, found->version);
          }
          // A malformed row must not be taken for a missing one.
          read.available = read.record.has_value();
        }
        Send(read);
      });
}

void platform_duty::Execute(const compare_and_set_command& update) {
  const core::database_id database = update.database;
  const std::string body = boost::json::serialize(
      boost::json::object{{"expected_version", update.record.version},
                          {"value", ToJson(update.record)}});
  record_client_.Send(
      {"PUT", RowTarget(GroupRecordKey(database)), body},
      [this, database](http::exchange_status status,
                       const http::response& answer) {
        compare_and_set_event result;
        result.database = database;
        if (status == http::exchange_status::kNotSent) {
          result.status = decisions::compare_and_set_status::kUnavailable;
        } else if (status == http::exchange_status::kAnswered) {
          result.status = CompareAndSetStatusOf(answer.status);
          const std::optional<row> current_row = ParseRow(answer.body);
          if (current_row.has_value()) {
            result.current =
                GroupRecordFromJson(current_row->value, current_row->version);
          }
          if (result.status ==
              decisions::compare_and_set_status::kUnavailable) {
            LOG(WARNING) << "platform: record refused. database="
                         << database.value << " status=" << answer.status;
          }
        }
        Send(result);
      });
}

void platform_duty::Execute(const read_configuration_command& request) {
  const std::uint64_t known = request.known_version;
  background_client_.Send(
      {"GET", RowTarget(kConfigurationKey), ""},
      [this, known](http::exchange_status status,
                    const http::response& answer) {
        if (!AnsweredWithoutServerError(status, answer) ||
            answer.status != kOk) {
          return;
        }
        const std::optional<row> found = ParseRow(answer.body);
        if (!found.has_value() || found->version <= known) {
          return;
        }
        boost::leaf::try_handle_all(
            [&]() -> core::result<void> {
              BOOST_LEAF_AUTO(configuration,
                              config::ConfigurationFromJson(found->value));
              // The row's version is also the configuration's version.
              configuration.version = found->version;
              Send(configuration_event{
                  std::make_shared<const core::configuration>(
                      std::move(configuration))});
              return {};
            },
            [](const core::error& problem) {
              LOG(ERROR) << "platform: configuration refused. field="
                         << problem.subject << " reason=" << problem.detail;
            },
            [] { LOG(ERROR) << "platform: configuration refused."; });
      });
}

void platform_duty::Execute(const read_instances_command&) {
  background_client_.Send(
      {"GET", "/v1/instances", ""},
      [this](http::exchange_status status, const http::response& answer) {
        if (AnsweredWithoutServerError(status, answer) &&
            answer.status == kOk) {
          OnInstances(answer.body);
        }
      });
}

void platform_duty::OnInstances(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(body, error);
  if (!error) {
    Send(instances_event{InstanceListFromJson(parsed)});
  }
}

}  // namespace plantaintiller::tables
