#include <glog/logging.h>

#include <string>
#include <vector>

#include "plantaintiller/cli/program.h"

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return plantaintiller::cli::program().Run(arguments);
}
