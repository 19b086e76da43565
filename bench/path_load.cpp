// Measures one path to a stand-in backend server under a number of concurrent
// callers.
//
// Usage: plantaintiller_path_load direct|proxy|floor HOST PORT CALLERS SECONDS
// Prints: path callers answers_per_s p50_us p99_us failures

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "plantaintiller/backends/connection.h"
#include "plantaintiller/http/client.h"

namespace plantaintiller {

namespace {

using core::clock;
using std::chrono::microseconds;
using tcp = boost::asio::ip::tcp;

struct load_settings {
  std::string host;
  std::uint16_t port = 0;
  int callers = 1;
  std::chrono::seconds duration{1};
};

struct load_results {
  std::vector<std::int64_t> micros;
  std::uint64_t failures = 0;

  void Record(clock::time_point start, bool success) {
    if (!success) {
      failures += 1;
      return;
    }
    micros.push_back(
        std::chrono::duration_cast<microseconds>(clock::now() - start).count());
  }
};

void PrintResults(const char* path,
                  const load_settings& settings,
                  load_results& results) {
  std::ranges::sort(results.micros);
  const auto quantile = [&results](double fraction) {
    const auto last_index = static_cast<double>(results.micros.size() - 1);
    return results.micros.empty()
               ? 0L
               : results
                     .micros[static_cast<std::size_t>(last_index * fraction)];
  };
  std::printf("%s %d %.0f %ld %ld %llu\n", path, settings.callers,
              static_cast<double>(results.micros.size()) /
                  static_cast<double>(settings.duration.count()),
              quantile(0.5), quantile(0.99),
              static_cast<unsigned long long>(results.failures));
}

/// A caller that sends statements directly to the backend server with libpq.
class direct_caller {
 public:
  direct_caller(boost::asio::io_context& context,
                const load_settings& settings,
                load_results& results,
                clock::time_point end)
      : connection_(context,
                    {settings.host, settings.port, backends::kStatementRole}),
        results_(results),
        end_(end) {}

  void StartNext() {
    if (clock::now() >= end_) {
      return;
    }
    const clock::time_point start = clock::now();
    backends::batch_step step;
    step.sql = "SELECT 1";
    step.sync_after = true;
    connection_.Run(
        {step}, [this, start](const backends::batch_result& result) {
          results_.Record(start,
                          result.status == backends::batch_status::kAnswered);
          StartNext();
        });
  }

 private:
  backends::connection connection_;
  load_results& results_;
  clock::time_point end_;
};

/// A caller that sends statements to an entry instance.
class proxy_caller {
 public:
  proxy_caller(boost::asio::io_context& context,
               const load_settings& settings,
               load_results& results,
               clock::time_point end)
      : client_(context,
                settings.host,
                settings.port,
                core::milliseconds(10000)),
        results_(results),
        end_(end) {}

  void StartNext() {
    if (clock::now() >= end_) {
      return;
    }
    const clock::time_point start = clock::now();
    client_.Send(
        {"POST", "/v1/statements",
         R"({"database":"demo.database-1","access":"read","sql":"SELECT 1",)"
         R"("max_staleness_ms":60000})"},
        [this, start](http::exchange_status status,
                      const http::response& answer) {
          results_.Record(start, status == http::exchange_status::kAnswered &&
                                     answer.status == 200);
          StartNext();
        });
  }

 private:
  http::client client_;
  load_results& results_;
  clock::time_point end_;
};

template <class caller>
void RunCallers(const char* path, const load_settings& settings) {
  boost::asio::io_context context(1);
  load_results results;
  const clock::time_point end = clock::now() + settings.duration;
  std::vector<std::unique_ptr<caller>> callers;
  for (int n = 0; n < settings.callers; ++n) {
    callers.push_back(
        std::make_unique<caller>(context, settings, results, end));
    callers.back()->StartNext();
  }
  context.run_until(end + std::chrono::seconds(2));
  PrintResults(path, settings, results);
}

/// Measures round trips of one byte over loopback, between two threads.
void MeasureLoopback(const load_settings& settings) {
  boost::asio::io_context context(1);
  tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread echo([&acceptor] {
    tcp::socket peer = acceptor.accept();
    peer.set_option(tcp::no_delay(true));
    char byte = 0;
    boost::system::error_code error;
    while (boost::asio::read(peer, boost::asio::buffer(&byte, 1), error) == 1) {
      boost::asio::write(peer, boost::asio::buffer(&byte, 1), error);
    }
  });
  tcp::socket socket(context);
  socket.connect(acceptor.local_endpoint());
  socket.set_option(tcp::no_delay(true));
  load_results results;
  const clock::time_point end = clock::now() + settings.duration;
  char byte = 0;
  while (clock::now() < end) {
    const clock::time_point start = clock::now();
    boost::asio::write(socket, boost::asio::buffer(&byte, 1));
    boost::asio::read(socket, boost::asio::buffer(&byte, 1));
    results.Record(start, true);
  }
  socket.close();
  echo.join();
  PrintResults("floor", settings, results);
}

}  // namespace

}  // namespace plantaintiller

int main(int argc, char** argv) {
  using namespace plantaintiller;
  if (argc != 6) {
    std::fprintf(stderr,
                 "usage: plantaintiller_path_load direct|proxy|floor HOST PORT "
                 "CALLERS SECONDS\n");
    return 2;
  }
  const std::string path = argv[1];
  load_settings settings;
  settings.host = argv[2];
  settings.port = static_cast<std::uint16_t>(std::atoi(argv[3]));
  settings.callers = std::atoi(argv[4]);
  settings.duration = std::chrono::seconds(std::atoi(argv[5]));
  if (path == "direct") {
    RunCallers<direct_caller>("direct", settings);
  } else if (path == "proxy") {
    RunCallers<proxy_caller>("proxy", settings);
  } else {
    MeasureLoopback(settings);
  }
  return 0;
}
