#include "plantaintiller/standin/sql_engine.h"

#include <sqlite3.h>

namespace plantaintiller::standin {

namespace {

constexpr const char* kSchema =
    "CREATE TABLE plantaintiller_requests("
    "id TEXT PRIMARY KEY, fingerprint TEXT NOT NULL, state TEXT NOT NULL)";

struct statement_deleter {
  void operator()(sqlite3_stmt* statement) const {
    sqlite3_finalize(statement);
  }
};
using statement_handle = std::unique_ptr<sqlite3_stmt, statement_deleter>;

struct database_deleter {
  void operator()(sqlite3* database) const { sqlite3_close(database); }
};

const char* SqlStateFor(int extended_code) {
  switch (extended_code) {
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_ROWID:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
      return "23503";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    default:
      return "42601";
  }
}

}  // namespace

class sql_engine::implementation {
 public:
  implementation() { Reset(); }

  void Reset() {
    sqlite3* opened = nullptr;
    sqlite3_open(":memory:", &opened);
    database_.reset(opened);
    sqlite3_extended_result_codes(opened, 1);
    sqlite3_exec(opened, kSchema, nullptr, nullptr, nullptr);
  }

  statement_handle Prepare(const std::string& sql) const {
    sqlite3_stmt* prepared = nullptr;
    sqlite3_prepare_v2(database_.get(), sql.c_str(),
                       static_cast<int>(sql.size()), &prepared, nullptr);
    return statement_handle(prepared);
  }

  sql_result Failure() const {
    sql_result result;
    result.failed = true;
    result.sqlstate = SqlStateFor(sqlite3_extended_errcode(database_.get()));
    result.message = sqlite3_errmsg(database_.get());
    return result;
  }

  sql_result Run(const std::string& sql,
                 const std::vector<cell>& params,
                 bool allow_writes) {
    const statement_handle prepared = Prepare(sql);
    if (prepared == nullptr) {
      return Failure();
    }
    sql_result result;
    result.is_write = sqlite3_stmt_readonly(prepared.get()) == 0;
    if (result.is_write && !allow_writes) {
      result.failed = true;
      result.sqlstate = "25006";
      result.message = "cannot write on a server that is not primary";
      return result;
    }
    Bind(prepared.get(), params);
    const int columns = sqlite3_column_count(prepared.get());
    for (int column = 0; column < columns; ++column) {
      result.columns.emplace_back(sqlite3_column_name(prepared.get(), column));
    }
    int code = sqlite3_step(prepared.get());
    while (code == SQLITE_ROW) {
      result.rows.push_back(Row(prepared.get(), columns));
      code = sqlite3_step(prepared.get());
    }
    if (code != SQLITE_DONE) {
      return Failure();
    }
    if (result.is_write) {
      result.affected_rows =
          static_cast<std::uint64_t>(sqlite3_changes(database_.get()));
    }
    return result;
  }

 private:
  static void Bind(sqlite3_stmt* prepared, const std::vector<cell>& params) {
    for (std::size_t n = 0; n < params.size(); ++n) {
      const std::string name = "$" + std::to_string(n + 1);
      const int index = sqlite3_bind_parameter_index(prepared, name.c_str());
      if (index > 0 && params[n].has_value()) {
        sqlite3_bind_text(prepared, index, params[n]->data(),
                          static_cast<int>(params[n]->size()),
                          SQLITE_TRANSIENT);
      }
    }
  }

  static std::vector<cell> Row(sqlite3_stmt* stepped, int columns) {
    std::vector<cell> row;
    for (int column = 0; column < columns; ++column) {
      if (sqlite3_column_type(stepped, column) == SQLITE_NULL) {
        row.emplace_back(std::nullopt);
        continue;
      }
      const auto* text =
          reinterpret_cast<const char*>(sqlite3_column_text(stepped, column));
      const auto size =
          static_cast<std::size_t>(sqlite3_column_bytes(stepped, column));
      row.emplace_back(std::string(text, size));
    }
    return row;
  }

  std::unique_ptr<sqlite3, database_deleter> database_;
};

sql_engine::sql_engine()
    : implementation_(std::make_unique<implementation>()) {}

sql_engine::~sql_engine() = default;

void sql_engine::Reset() {
  implementation_->Reset();
}

sql_result sql_engine::Run(const std::string& sql,
                           const std::vector<cell>& params,
                           bool allow_writes) {
  return implementation_->Run(sql, params, allow_writes);
}

std::vector<std::string> sql_engine::Describe(const std::string& sql) const {
  std::vector<std::string> columns;
  const statement_handle prepared = implementation_->Prepare(sql);
  const int count =
      prepared == nullptr ? 0 : sqlite3_column_count(prepared.get());
  columns.reserve(static_cast<std::size_t>(count));
  for (int column = 0; column < count; ++column) {
    columns.emplace_back(sqlite3_column_name(prepared.get(), column));
  }
  return columns;
}

}  // namespace plantaintiller::standin
