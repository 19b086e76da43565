// Measures one path to a stand-in backend server under a number of concurrent
// callers: plantaintiller_path_load direct|proxy|floor HOST PORT CALLERS
// SECONDS Prints: path callers answers_per_s p50_us p99_us failures

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

struct load {
  std::string host;
  std::uint16_t port = 0;
  int callers = 1;
  std::chrono::seconds span{1};
};

struct tally {
  std::vector<std::int64_t> micros;
  std::uint64_t failures = 0;

  void Add(clock::time_point from, bool good) {
    if (!good) {
      failures += 1;
      return;
    }
    micros.push_back(
        std::chrono::duration_cast<microseconds>(clock::now() - from).count());
  }
};

void Print(const char* path, const load& offered, tally& done) {
  std::ranges::sort(done.micros);
  const auto at = [&done](double part) {
    const auto last = static_cast<double>(done.micros.size() - 1);
    return done.micros.empty()
               ? 0L
               : done.micros[static_cast<std::size_t>(last * part)];
  };
  std::printf("%s %d %.0f %ld %ld %llu\n", path, offered.callers,
              static_cast<double>(done.micros.size()) /
                  static_cast<double>(offered.span.count()),
              at(0.5), at(0.99),
              static_cast<unsigned long long>(done.failures));
}

/// One caller that goes straight to the backend server through libpq.
class direct_caller {
 public:
  direct_caller(boost::asio::io_context& context,
                const load& offered,
                tally& done,
                clock::time_point end)
      : connection_(context,
                    {offered.host, offered.port, backends::kStatementRole}),
        done_(done),
        end_(end) {}

  void Next() {
    if (clock::now() >= end_) {
      return;
    }
    const clock::time_point from = clock::now();
    backends::batch_step step;
    step.sql = "SELECT 1";
    step.sync_after = true;
    connection_.Run({step}, [this, from](const backends::batch_result& result) {
      done_.Add(from, result.status == backends::batch_status::kAnswered);
      Next();
    });
  }

 private:
  backends::connection connection_;
  tally& done_;
  clock::time_point end_;
};

/// One caller that goes through an entry instance.
class proxy_caller {
 public:
  proxy_caller(boost::asio::io_context& context,
               const load& offered,
               tally& done,
               clock::time_point end)
      : client_(context, offered.host, offered.port, core::milliseconds(10000)),
        done_(done),
        end_(end) {}

  void Next() {
    if (clock::now() >= end_) {
      return;
    }
    const clock::time_point from = clock::now();
    client_.Send(
        {"POST", "/v1/statements",
         R"({"database":"demo.database-1","access":"read","sql":"SELECT 1",)"
         R"("max_staleness_ms":60000})"},
        [this, from](http::exchange_status status,
                     const http::response& answer) {
          done_.Add(from, status == http::exchange_status::kAnswered &&
                              answer.status == 200);
          Next();
        });
  }

 private:
  http::client client_;
  tally& done_;
  clock::time_point end_;
};

template <class caller>
void Run(const char* path, const load& offered) {
  boost::asio::io_context context(1);
  tally done;
  const clock::time_point end = clock::now() + offered.span;
  std::vector<std::unique_ptr<caller>> callers;
  for (int n = 0; n < offered.callers; ++n) {
    callers.push_back(std::make_unique<caller>(context, offered, done, end));
    callers.back()->Next();
  }
  context.run_until(end + std::chrono::seconds(2));
  Print(path, offered, done);
}

/// Round trips of one byte over loopback, between two threads.
void RunFloor(const load& offered) {
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
  tally done;
  const clock::time_point end = clock::now() + offered.span;
  char byte = 0;
  while (clock::now() < end) {
    const clock::time_point from = clock::now();
    boost::asio::write(socket, boost::asio::buffer(&byte, 1));
    boost::asio::read(socket, boost::asio::buffer(&byte, 1));
    done.Add(from, true);
  }
  socket.close();
  echo.join();
  Print("floor", offered, done);
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
  load offered;
  offered.host = argv[2];
  offered.port = static_cast<std::uint16_t>(std::atoi(argv[3]));
  offered.callers = std::atoi(argv[4]);
  offered.span = std::chrono::seconds(std::atoi(argv[5]));
  if (path == "direct") {
    Run<direct_caller>("direct", offered);
  } else if (path == "proxy") {
    Run<proxy_caller>("proxy", offered);
  } else {
    RunFloor(offered);
  }
  return 0;
}
