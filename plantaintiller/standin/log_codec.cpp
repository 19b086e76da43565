#include "plantaintiller/standin/log_codec.h"

#include <boost/json.hpp>

namespace plantaintiller::standin {

std::string LogContentToText(const log_content& content) {
  boost::json::array statements;
  for (const logged_statement& each : content) {
    boost::json::array params;
    for (const cell& param : each.params) {
      if (param.has_value()) {
        params.emplace_back(*param);
      } else {
        params.emplace_back(nullptr);
      }
    }
    statements.push_back(boost::json::array{each.sql, std::move(params)});
  }
  return boost::json::serialize(statements);
}

log_content LogContentFromText(const std::string& text) {
  log_content content;
  boost::json::error_code error;
  const boost::json::value parsed = boost::json::parse(text, error);
  if (error || !parsed.is_array()) {
    return content;
  }
  for (const boost::json::value& each : parsed.get_array()) {
    const boost::json::array& pair = each.as_array();
    logged_statement statement;
    statement.sql = pair[0].as_string();
    for (const boost::json::value& param : pair[1].as_array()) {
      if (param.is_null()) {
        statement.params.emplace_back(std::nullopt);
      } else {
        statement.params.emplace_back(std::string(param.as_string()));
      }
    }
    content.push_back(std::move(statement));
  }
  return content;
}

}  // namespace plantaintiller::standin
