#include "peers_bench.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/peers/peer_network.h"

#include "../../src/peers/handshake.h"
#include "measure.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace lovagebeam::bench {
namespace {

using namespace std::chrono_literals;
using peers::channel;
using peers::connection_state;

const base::node_id node_a{"a"};
const base::node_id node_b{"b"};
constexpr const char* secret = "a secret for benchmarks";

/// Counts the received messages, and echoes them on `echo_network` if that is set.
class counting_handler : public peers::peer_handler {
public:
    void on_message(const base::node_id& from, channel which, std::string bytes) override
    {
        if (echo_network != nullptr) {
            static_cast<void>(echo_network->send(from, which, std::move(bytes)));
        }
        ++received;
    }

    void on_state(const base::node_id&, connection_state) override {}

    std::atomic<std::size_t> received{0};
    peers::peer_network* echo_network = nullptr;
};

/// Two networks that are connected to each other.
struct connected_pair {
    connected_pair() : a{make(node_a, handler_a)}, b{make(node_b, handler_b)}
    {
        b->update_peers({{node_a, "127.0.0.1", a->port()}});
        a->update_peers({{node_b, "127.0.0.1", b->port()}});
        while (a->state_of(node_b) != connection_state::connected ||
               b->state_of(node_a) != connection_state::connected) {
            std::this_thread::sleep_for(1ms);
        }
    }

    static std::unique_ptr<peers::peer_network> make(const base::node_id& id,
                                                     counting_handler& handler)
    {
        auto built = peers::peer_network_builder{}.id(id).secret(secret).handler(handler).build();
        auto network = *std::move(built);
        if (!network->start().ok()) {
            std::cerr << "error=listen\n";
            std::exit(1);
        }
        return network;
    }

    counting_handler handler_a;
    counting_handler handler_b;
    std::unique_ptr<peers::peer_network> a;
    std::unique_ptr<peers::peer_network> b;
};

void bench_latency(connected_pair& networks, std::size_t size, const std::string& suffix)
{
    constexpr std::size_t rounds = 5'000;
    networks.handler_b.echo_network = networks.b.get();
    std::vector<double> samples;
    for (std::size_t i = 0; i < rounds; ++i) {
        const std::size_t before = networks.handler_a.received;
        const stopwatch watch;
        static_cast<void>(networks.a->send(node_b, channel::consensus, std::string(size, 'x')));
        while (networks.handler_a.received == before) {
            std::this_thread::yield();
        }
        samples.push_back(watch.seconds() * 1e6);
    }
    networks.handler_b.echo_network = nullptr;
    report("peers_round_trip_p50_us" + suffix, percentile(samples, 0.5));
    report("peers_round_trip_p99_us" + suffix, percentile(samples, 0.99));
}

} // namespace

void bench_messages(std::size_t size, std::size_t count)
{
    connected_pair networks;
    const std::string suffix = "_" + std::to_string(size) + "b";
    const stopwatch watch;
    std::size_t sent = 0;
    while (sent < count) {
        if (networks.a->send(node_b, channel::routing, std::string(size, 'x')).ok()) {
            ++sent;
        }
        else {
            std::this_thread::sleep_for(100us);
        }
    }
    while (networks.handler_b.received < count) {
        std::this_thread::sleep_for(100us);
    }
    const double total = static_cast<double>(count);
    report("peers_messages_per_s" + suffix, total / watch.seconds());
    report("peers_cpu_us_per_message" + suffix, watch.cpu_us() / total);
    bench_latency(networks, size, suffix);
}

void bench_idle_connection()
{
    connected_pair networks;
    constexpr auto time = 8s;
    std::this_thread::sleep_for(500ms);
    const auto before = networks.a->counters();
    const stopwatch watch;
    std::this_thread::sleep_for(time);
    const auto after = networks.a->counters();
    const double seconds = watch.seconds();
    // Node a has two connections: the one it dials and the one it accepts.
    const auto rate = [seconds](std::uint64_t from, std::uint64_t to) {
        return static_cast<double>(to - from) / 2 / seconds;
    };
    report("peers_idle_bytes_out_per_s_per_connection",
           rate(before.wire_bytes_out, after.wire_bytes_out));
    report("peers_idle_bytes_in_per_s_per_connection",
           rate(before.wire_bytes_in, after.wire_bytes_in));
    report("peers_idle_cpu_us_per_s_per_connection", watch.cpu_us() / 2 / seconds);
}

void bench_handshake()
{
    constexpr int rounds = 20'000;
    const peers::authenticator sender{node_a, secret};
    peers::authenticator receiver{node_b, secret};
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const stopwatch watch;
    for (int i = 0; i < rounds; ++i) {
        if (!receiver.check(sender.make_hello(node_b, now), now).ok()) {
            std::cerr << "error=handshake\n";
        }
    }
    report("peers_hello_make_and_check_cpu_us", watch.cpu_us() / rounds);

    constexpr int connects = 200;
    const stopwatch connect_watch;
    for (int i = 0; i < connects; ++i) {
        const connected_pair networks;
    }
    report("peers_start_connect_stop_ms", connect_watch.seconds() * 1e3 / connects);
    report("peers_start_connect_stop_cpu_us", connect_watch.cpu_us() / connects);
}

} // namespace lovagebeam::bench
