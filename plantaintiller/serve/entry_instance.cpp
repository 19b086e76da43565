#include "plantaintiller/serve/entry_instance.h"

#include <glog/logging.h>
#include <sys/resource.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "plantaintiller/backends/backend_duty.h"
#include "plantaintiller/callers/caller_service.h"
#include "plantaintiller/core/duty_thread.h"
#include "plantaintiller/http/server.h"
#include "plantaintiller/instances/peer_loop.h"
#include "plantaintiller/metrics/registry.h"
#include "plantaintiller/operators/operator_service.h"
#include "plantaintiller/serve/channels.h"
#include "plantaintiller/serve/decision_duty.h"
#include "plantaintiller/tables/platform_duty.h"

namespace plantaintiller::serve {

namespace {

constexpr int kExitCannotListen = 1;

// Raises the limit on open files to the hard limit, because each caller's
// connection takes a file descriptor.
void RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

http::server_settings ServerSettings(const std::string& host,
                                     std::uint16_t port) {
  http::server_settings settings;
  settings.host = host;
  settings.port = port;
  return settings;
}

}  // namespace

class entry_instance::implementation {
 public:
  explicit implementation(const serve_settings& settings)
      : settings_(settings),
        caller_service_(channels_.from_callers, metrics_, settings.seed + 1),
        caller_server_(
            callers_.Context(),
            ServerSettings(settings.caller_host, settings.caller_port),
            caller_service_),
        operator_service_(channels_.from_operators, metrics_),
        operator_server_(
            operators_.Context(),
            ServerSettings(settings.operator_host, settings.operator_port),
            operator_service_),
        backend_duty_(backends_.Context(), channels_.from_backends),
        platform_duty_(platform_.Context(),
                       settings.platform_host,
                       settings.platform_port,
                       channels_.from_platform),
        peers_({settings.self, settings.peer_host, settings.peer_port},
               channels_.to_instances,
               channels_.from_instances),
        decision_duty_(decisions_.Context(), channels_, settings, [this] {
          main_.stop();
        }) {}

  int Run() {
    RaiseFileLimit();
    ConnectChannels();
    if (!Listen()) {
      return kExitCannotListen;
    }
    callers_.Start();
    operators_.Start();
    backends_.Start();
    platform_.Start();
    decisions_.Post([this] { decision_duty_.Start(); });
    decisions_.Start();
    LOG(INFO) << "serve: started. instance=" << settings_.self.value
              << " zone=" << settings_.zone;
    WaitForShutdown();
    StopDuties();
    return 0;
  }

 private:
  void ConnectChannels() {
    channels_.from_callers.SetWakeCallback([this] {
      decisions_.Post([this] { decision_duty_.ProcessCallerStatements(); });
    });
    channels_.from_backends.SetWakeCallback([this] {
      decisions_.Post([this] { decision_duty_.ProcessBackendEvents(); });
    });
    channels_.from_instances.SetWakeCallback([this] {
      decisions_.Post([this] { decision_duty_.ProcessInstanceEvents(); });
    });
    channels_.from_platform.SetWakeCallback([this] {
      decisions_.Post([this] { decision_duty_.ProcessPlatformEvents(); });
    });
    channels_.from_operators.SetWakeCallback([this] {
      decisions_.Post([this] { decision_duty_.ProcessOperatorQueries(); });
    });
    channels_.to_callers.SetWakeCallback([this] {
      callers_.Post([this] {
        channels_.to_callers.Drain([this](const callers::command& command) {
          caller_service_.Execute(command);
        });
      });
    });
    channels_.to_backends.SetWakeCallback([this] {
      backends_.Post([this] {
        channels_.to_backends.Drain([this](const backends::command& command) {
          backend_duty_.Execute(command);
        });
      });
    });
    channels_.to_platform.SetWakeCallback([this] {
      platform_.Post([this] {
        channels_.to_platform.Drain([this](const tables::command& command) {
          platform_duty_.Execute(command);
        });
      });
    });
    channels_.to_operators.SetWakeCallback([this] {
      operators_.Post([this] {
        channels_.to_operators.Drain(
            [this](const operators::status_answer& each) {
              operator_service_.OnStatusAnswer(each);
            });
      });
    });
  }

  bool Listen() {
    try {
      const std::uint16_t caller_port = caller_server_.Listen();
      const std::uint16_t operator_port = operator_server_.Listen();
      LOG(INFO) << "serve: listening. callers=" << caller_port
                << " operators=" << operator_port;
    } catch (const boost::system::system_error& error) {
      LOG(ERROR) << "serve: cannot listen. reason=" << error.what();
      return false;
    }
    if (!peers_.Start()) {
      LOG(ERROR) << "serve: cannot listen for instances.";
      return false;
    }
    return true;
  }

  void WaitForShutdown() {
    boost::asio::signal_set signals(main_, SIGTERM, SIGINT);
    signals.async_wait([this](const boost::system::error_code& error, int) {
      if (error) {
        return;
      }
      callers_.Post([this] { caller_server_.StopAccepting(); });
      decisions_.Post([this] { decision_duty_.Drain(); });
    });
    const auto guard = boost::asio::make_work_guard(main_);
    main_.run();
  }

  void StopDuties() {
    // Of the threads that answers pass through, the callers' thread is stopped
    // last.
    decisions_.Stop();
    FlushAnswers();
    callers_.Stop();
    operators_.Stop();
    peers_.Stop();
    backends_.Stop();
    platform_.Stop();
  }

  // Lets the callers' thread write the answers that have been queued for it.
  void FlushAnswers() {
    std::promise<void> written;
    callers_.Post([&written] { written.set_value(); });
    written.get_future().wait();
    std::this_thread::sleep_for(kFlushTime);
  }

  static constexpr core::milliseconds kFlushTime{100};

  serve_settings settings_;
  channels channels_;
  metrics::registry metrics_;
  boost::asio::io_context main_{1};
  core::duty_thread callers_{"callers"};
  core::duty_thread operators_{"operators"};
  core::duty_thread backends_{"backends"};
  core::duty_thread platform_{"platform"};
  core::duty_thread decisions_{"decisions"};
  callers::caller_service caller_service_;
  http::server caller_server_;
  operators::operator_service operator_service_;
  http::server operator_server_;
  backends::backend_duty backend_duty_;
  tables::platform_duty platform_duty_;
  instances::peer_loop peers_;
  decision_duty decision_duty_;
};

entry_instance::entry_instance(const serve_settings& settings)
    : implementation_(std::make_unique<implementation>(settings)) {}

entry_instance::~entry_instance() = default;

int entry_instance::Run() {
  return implementation_->Run();
}

}  // namespace plantaintiller::serve
