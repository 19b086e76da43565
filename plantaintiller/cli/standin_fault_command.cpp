#include "plantaintiller/cli/standin_fault_command.h"

#include <boost/asio/io_context.hpp>
#include <iostream>

#include "plantaintiller/backends/connection.h"

namespace plantaintiller::cli {

std::vector<option> standin_fault_command::Options() const {
  return {{"backend", option_kind::kAddress, "",
           "Address of the stand-in backend server.", true, 0, 0},
          {"name", option_kind::kText, "", "lag_ms or silent.", true, 0, 0},
          {"value", option_kind::kNumber, "1", "Value of the fault.", false, 0,
           3600000}};
}

int standin_fault_command::Run(const option_values& values) {
  const address backend = values.Address("backend");
  boost::asio::io_context context(1);
  backends::connection connection(
      context, {backend.host, backend.port, backends::kControlRole});
  backends::batch_step step;
  step.sql = "SELECT * FROM plantaintiller_standin($1, $2)";
  step.params = {values.Text("name"), values.Text("value")};
  step.sync_after = true;
  int status = kExitFailure;
  connection.Run({std::move(step)}, [&](const backends::batch_result& result) {
    const bool set = result.status == backends::batch_status::kAnswered &&
                     result.steps[0].status == backends::step_status::kDone;
    status = set ? kExitSuccess : kExitFailure;
    context.stop();
  });
  context.run();
  if (status != kExitSuccess) {
    std::cerr << "unavailable: " << backend.host << ":" << backend.port
              << ": the fault was not set\n";
  }
  return status;
}

}  // namespace plantaintiller::cli
