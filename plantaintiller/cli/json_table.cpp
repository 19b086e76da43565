#include "plantaintiller/cli/json_table.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cstddef>
#include <iomanip>
#include <sstream>
#include <vector>

namespace plantaintiller::cli {

namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

bool IsTable(const value& json) {
  return json.is_array() && !json.get_array().empty() &&
         json.get_array()[0].is_object();
}

std::string CellText(const value& json) {
  return json.is_string() ? std::string(json.get_string())
                          : boost::json::serialize(json);
}

std::vector<std::string> PlainColumns(const object& row) {
  std::vector<std::string> columns;
  for (const auto& field : row) {
    if (!IsTable(field.value())) {
      columns.emplace_back(field.key());
    }
  }
  return columns;
}

void PrintTable(const array& rows, std::ostream& out);

void PrintRows(const array& rows,
               const std::vector<std::string>& columns,
               std::ostream& out) {
  std::vector<std::size_t> widths;
  for (const std::string& column : columns) {
    std::size_t width = column.size();
    for (const value& row : rows) {
      width = std::max(width, CellText(row.as_object().at(column)).size());
    }
    widths.push_back(width);
  }
  const auto print_cell = [&](std::size_t n, const std::string& text) {
    out << std::left << std::setw(static_cast<int>(widths[n]) + 2) << text;
  };
  for (std::size_t n = 0; n < columns.size(); ++n) {
    print_cell(n, columns[n]);
  }
  out << "\n";
  for (const value& row : rows) {
    for (std::size_t n = 0; n < columns.size(); ++n) {
      print_cell(n, CellText(row.as_object().at(columns[n])));
    }
    out << "\n";
  }
}

void PrintTable(const array& rows, std::ostream& out) {
  const std::vector<std::string> columns = PlainColumns(rows[0].as_object());
  const bool nested = columns.size() < rows[0].as_object().size();
  if (!nested) {
    PrintRows(rows, columns, out);
    return;
  }
  for (const value& row : rows) {
    out << JsonTable(row) << "\n";
  }
}

}  // namespace

std::string JsonTable(const value& json) {
  std::ostringstream out;
  if (!json.is_object()) {
    out << CellText(json) << "\n";
    return out.str();
  }
  for (const auto& field : json.get_object()) {
    if (IsTable(field.value())) {
      out << "\n" << std::string(field.key()) << "\n";
      PrintTable(field.value().get_array(), out);
    } else {
      out << std::string(field.key()) << ": " << CellText(field.value())
          << "\n";
    }
  }
  return out.str();
}

}  // namespace plantaintiller::cli
