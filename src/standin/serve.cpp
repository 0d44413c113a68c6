#include "lovagebeam/standin/serve.h"

#include "lovagebeam/standin/announcer.h"
#include "lovagebeam/standin/timer_queue.h"
#include "lovagebeam/telemetry/log.h"

#include <csignal>
#include <iostream>

namespace lovagebeam::standin {
namespace {

constexpr std::chrono::milliseconds observe_interval{100};

// Blocks the signals in this thread and those that it starts, so that only sigwait takes them.
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

class connection_observer {
public:
    connection_observer(timer_queue& timers, const callers::http_server& server,
                        std::function<void(std::uint64_t)> sink)
        : m_timers{timers}, m_server{server}, m_sink{std::move(sink)}
    {
    }

    void observe()
    {
        m_sink(m_server.counters().connections_open);
        m_timers.run_at(std::chrono::steady_clock::now() + observe_interval, [this] { observe(); });
    }

private:
    timer_queue& m_timers;
    const callers::http_server& m_server;
    std::function<void(std::uint64_t)> m_sink;
};

} // namespace

int serve(const serve_settings& settings, const serve_handlers& handlers)
{
    const sigset_t signals = block_stop_signals();
    auto server = callers::http_server_builder{}
                      .listen(settings.address, settings.port)
                      .handler(handlers.handle)
                      .build();
    const absl::Status started = server.ok() ? (*server)->start() : server.status();
    if (!started.ok()) {
        std::cerr << started.message() << '\n';
        return 1;
    }
    const targets::endpoint own{settings.address, (*server)->port()};
    targets::http_client client;
    client.start();
    timer_queue timers;
    announcer sender{client,
                     timers,
                     settings.entry_hosts,
                     settings.announce_path,
                     [&] { return handlers.announcement(own); },
                     handlers.on_announcement_answer};
    sender.start();
    connection_observer observer{timers, **server, handlers.on_connection_count};
    observer.observe();
    telemetry::log_event{telemetry::severity::info, "started"}
        .with("address", own.address)
        .with("port", own.port)
        .write();
    int signal = 0;
    sigwait(&signals, &signal);
    client.stop();
    (*server)->stop();
    return 0;
}

} // namespace lovagebeam::standin
