#include "plantaintiller/cli/option_set.h"

#include <getopt.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

namespace plantaintiller::cli {

namespace {

using core::error_type;

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool is_complete = parsed.ec == std::errc() && parsed.ptr == end;
  return is_complete ? std::optional(number) : std::nullopt;
}

std::optional<address> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const std::string host = text.substr(0, colon);
  const std::optional<std::int64_t> port = ParseNumber(text.substr(colon + 1));
  boost::system::error_code error;
  boost::asio::ip::make_address(host, error);
  if (error || !port.has_value() || *port < 0 || *port > UINT16_MAX) {
    return std::nullopt;
  }
  return address{host, static_cast<std::uint16_t>(*port)};
}

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, separator)) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

bool IsInstance(const std::string& text) {
  const std::size_t at = text.find('@');
  const std::size_t equals = text.find('=');
  return at != std::string::npos && equals != std::string::npos &&
         equals > at + 1 && ParseNumber(text.substr(0, at)).has_value() &&
         ParseAddress(text.substr(equals + 1)).has_value();
}

std::string AllowedValues(const option& checked) {
  switch (checked.kind) {
    case option_kind::kText:
      return "text that is not empty";
    case option_kind::kNumber:
      return "a whole number from " + std::to_string(checked.min_value) +
             " to " + std::to_string(checked.max_value);
    case option_kind::kFlag:
      return "true or false";
    case option_kind::kAddress:
      return "HOST:PORT with a numeric host";
    case option_kind::kInstances:
      return "ID@ZONE=HOST:PORT, separated by commas";
  }
  return "";
}

bool IsValid(const option& checked, const std::string& value) {
  switch (checked.kind) {
    case option_kind::kText:
      return !value.empty() || !checked.required;
    case option_kind::kNumber: {
      const std::optional<std::int64_t> number = ParseNumber(value);
      return number.has_value() && *number >= checked.min_value &&
             *number <= checked.max_value;
    }
    case option_kind::kFlag:
      return value == "true" || value == "false";
    case option_kind::kAddress:
      return ParseAddress(value).has_value();
    case option_kind::kInstances: {
      const std::vector<std::string> parts = Split(value, ',');
      return std::ranges::all_of(parts, IsInstance);
    }
  }
  return false;
}

}  // namespace

std::int64_t option_values::Number(const std::string& name) const {
  return ParseNumber(values_.at(name)).value_or(0);
}

bool option_values::Flag(const std::string& name) const {
  return values_.at(name) == "true";
}

address option_values::Address(const std::string& name) const {
  return ParseAddress(values_.at(name)).value_or(address());
}

std::vector<std::string> option_values::List(const std::string& name) const {
  return Split(values_.at(name), ',');
}

option_set::option_set(std::vector<option> options)
    : options_(std::move(options)) {}

std::string option_set::EnvironmentVariableFor(const std::string& name) {
  std::string variable = "PLANTAINTILLER_";
  for (const char each : name) {
    variable.push_back(each == '-' ? '_'
                                   : static_cast<char>(std::toupper(
                                         static_cast<unsigned char>(each))));
  }
  return variable;
}

core::result<void> option_set::ReadFlags(
    const std::vector<std::string>& arguments,
    option_values& values) const {
  std::vector<::option> table;
  for (const option& each : options_) {
    const int has_value =
        each.kind == option_kind::kFlag ? optional_argument : required_argument;
    table.push_back({each.name.c_str(), has_value, nullptr, 0});
  }
  table.push_back({"help", no_argument, nullptr, 0});
  table.push_back({nullptr, 0, nullptr, 0});
  std::vector<std::string> copies = arguments;
  std::vector<char*> raw;
  std::string program = "plantaintiller";
  raw.push_back(program.data());
  for (std::string& each : copies) {
    raw.push_back(each.data());
  }
  raw.push_back(nullptr);
  optind = 0;
  opterr = 0;
  const int count = static_cast<int>(raw.size()) - 1;
  while (true) {
    int index = 0;
    const int found = getopt_long(count, raw.data(), ":", table.data(), &index);
    if (found == -1) {
      break;
    }
    if (found != 0) {
      const std::string name = raw[static_cast<std::size_t>(optind) - 1];
      return core::Fail(
          found == ':' ? error_type::kBadSetting : error_type::kUnknownSetting,
          name, found == ':' ? "needs a value" : "no such option; see --help");
    }
    const std::string name = table[static_cast<std::size_t>(index)].name;
    if (name == "help") {
      values.help_requested_ = true;
      continue;
    }
    values.values_[name] = optarg == nullptr ? "true" : optarg;
  }
  for (int n = optind; n < count; ++n) {
    values.arguments_.emplace_back(raw[static_cast<std::size_t>(n)]);
  }
  return {};
}

core::result<void> option_set::ReadEnvironment(option_values& values) const {
  for (const option& each : options_) {
    const std::string variable = EnvironmentVariableFor(each.name);
    const char* from_environment = std::getenv(variable.c_str());
    const auto from_flag = values.values_.find(each.name);
    if (from_environment == nullptr) {
      continue;
    }
    if (from_flag == values.values_.end()) {
      values.values_[each.name] = from_environment;
      continue;
    }
    if (from_flag->second != from_environment) {
      return core::Fail(error_type::kSettingClash, "--" + each.name,
                        "the flag says '" + from_flag->second + "' and " +
                            variable + " says '" + from_environment +
                            "'; give one");
    }
  }
  return {};
}

core::result<option_values> option_set::Parse(
    const std::vector<std::string>& arguments) const {
  option_values values;
  BOOST_LEAF_CHECK(ReadFlags(arguments, values));
  if (values.help_requested_) {
    return values;
  }
  BOOST_LEAF_CHECK(ReadEnvironment(values));
  for (const option& each : options_) {
    const bool is_set = values.values_.contains(each.name);
    if (!is_set && each.required) {
      return core::Fail(error_type::kBadSetting, "--" + each.name,
                        "is required: " + AllowedValues(each) + " (or " +
                            EnvironmentVariableFor(each.name) + ")");
    }
    if (!is_set) {
      values.values_[each.name] = each.default_value;
      continue;
    }
    const std::string& value = values.values_[each.name];
    if (!IsValid(each, value)) {
      return core::Fail(error_type::kBadSetting, "--" + each.name,
                        "is '" + value + "'; allowed: " + AllowedValues(each));
    }
  }
  return values;
}

std::string option_set::Help() const {
  std::ostringstream out;
  for (const option& each : options_) {
    out << "  --" << each.name << "  " << each.help << "\n      "
        << AllowedValues(each);
    if (each.required) {
      out << "; required";
    } else if (!each.default_value.empty()) {
      out << "; default " << each.default_value;
    }
    out << "; " << EnvironmentVariableFor(each.name) << "\n";
  }
  out << "  --help  Shows this text.\n";
  return out.str();
}

}  // namespace plantaintiller::cli
