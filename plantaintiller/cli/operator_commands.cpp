#include "plantaintiller/cli/operator_commands.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>
#include <utility>

#include "plantaintiller/cli/blocking_request.h"
#include "plantaintiller/cli/json_table.h"

namespace plantaintiller::cli {

operator_command::operator_command(std::string name,
                                   std::string summary,
                                   std::string method,
                                   std::string target)
    : name_(std::move(name)),
      summary_(std::move(summary)),
      method_(std::move(method)),
      target_(std::move(target)) {}

std::vector<option> operator_command::Options() const {
  return {{"operators", option_kind::kAddress, "127.0.0.1:7401",
           "Address of the instance's operators' interface.", false, 0, 0},
          {"json", option_kind::kFlag, "false", "Prints the answer as JSON.",
           false, 0, 0}};
}

int operator_command::Run(const option_values& values) {
  return boost::leaf::try_handle_all(
      [&]() -> core::result<int> {
        BOOST_LEAF_AUTO(answer, BlockingRequest(values.Address("operators"),
                                                {method_, target_, ""}));
        const bool is_json = answer.content_type == "application/json" &&
                             !answer.body.empty() && answer.body[0] == '{';
        if (values.Flag("json") || !is_json) {
          std::cout << answer.body << "\n";
        } else {
          std::cout << JsonTable(boost::json::parse(answer.body));
        }
        return answer.status < 400 ? kExitSuccess : kExitFailure;
      },
      [](const core::error& problem) {
        std::cerr << core::ErrorName(problem.type) << ": " << problem.subject
                  << ": " << problem.detail << "\n";
        return kExitFailure;
      },
      [] { return kExitFailure; });
}

}  // namespace plantaintiller::cli
