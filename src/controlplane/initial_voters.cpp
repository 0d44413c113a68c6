#include "initial_voters.h"

#include "lovagebeam/base/errors.h"
#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/targets/http_client.h"
#include "lovagebeam/telemetry/log.h"

#include "controlplane.pb.h"
#include "internal_calls.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using base::error_code;
using base::make_error;
using std::chrono::milliseconds;
using telemetry::log_event;
using telemetry::severity;

/// Time for all hosts to start; on a first start they do so within a fraction of a second.
constexpr milliseconds arrival_window{2'000};
constexpr milliseconds query_interval{50};
constexpr milliseconds query_timeout{500};
constexpr std::chrono::seconds discovery_timeout{20};

class initial_voter_discovery {
public:
    explicit initial_voter_discovery(const settings::process_settings& settings)
        : m_settings{settings}
    {
        for (const auto& seed : settings.seeds) {
            m_seeds.push_back(seed.address);
        }
        m_durable[settings.address] = true;
    }

    absl::StatusOr<std::vector<std::string>> run()
    {
        auto server =
            callers::http_server_builder{}
                .listen(m_settings.address, core_port(m_settings))
                .handler([this](const callers::http_request& request, const callers::reply& reply) {
                    on_hello(request, reply);
                })
                .build();
        if (!server.ok()) {
            return server.status();
        }
        if (auto status = (*server)->start(); !status.ok()) {
            return status;
        }
        m_client.start();
        const bool is_known = wait_for_initial_voters();
        m_client.stop();
        (*server)->stop();
        const std::lock_guard lock{m_mutex};
        if (!is_known) {
            return make_error(error_code::timed_out, "the other core processes didn't answer");
        }
        return m_initial_voters;
    }

private:
    bool wait_for_initial_voters()
    {
        const auto begin = std::chrono::steady_clock::now();
        std::unique_lock lock{m_mutex};
        while (m_initial_voters.empty()) {
            const auto waited =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
            if (waited >= discovery_timeout) {
                return false;
            }
            if (auto chosen =
                    choose_initial_voters(m_seeds, m_durable, m_settings.address, waited)) {
                m_initial_voters = *std::move(chosen);
                break;
            }
            lock.unlock();
            query_seeds();
            lock.lock();
            m_changed.wait_for(lock, query_interval);
        }
        return true;
    }

    void query_seeds()
    {
        pb::CoreHello hello;
        hello.set_core(m_settings.address);
        hello.set_failure_domain(m_settings.domain.str());
        hello.set_durable(true);
        for (const auto& seed : m_seeds) {
            if (seed == m_settings.address) {
                continue;
            }
            post_message<pb::CoreHelloAnswer>(
                m_client, seed, core_port(m_settings), hello_path, hello, query_timeout,
                [this, seed](std::optional<pb::CoreHelloAnswer> answer, call_failure) {
                    if (answer) {
                        record_host(
                            seed, answer->durable(),
                            {answer->initial_voters().begin(), answer->initial_voters().end()});
                    }
                });
        }
    }

    void record_host(const std::string& core, bool is_durable, std::vector<std::string> voters)
    {
        const std::lock_guard lock{m_mutex};
        m_durable[core] = is_durable;
        if (m_initial_voters.empty()) {
            m_initial_voters = std::move(voters);
        }
        m_changed.notify_one();
    }

    void on_hello(const callers::http_request& request, const callers::reply& reply)
    {
        pb::CoreHello hello;
        if (request.path() != hello_path || !hello.ParseFromString(request.body)) {
            reply(callers::error_response(503, error_code::no_quorum, "the system is starting"));
            return;
        }
        record_host(hello.core(), hello.durable(), {});
        pb::CoreHelloAnswer answer;
        answer.set_durable(true);
        {
            const std::lock_guard lock{m_mutex};
            for (const auto& voter : m_initial_voters) {
                answer.add_initial_voters(voter);
            }
        }
        callers::http_response response;
        response.content_type = "application/octet-stream";
        response.body = answer.SerializeAsString();
        reply(std::move(response));
    }

    const settings::process_settings& m_settings;
    std::vector<std::string> m_seeds;
    targets::http_client m_client;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, bool> m_durable;
    std::vector<std::string> m_initial_voters;
};

} // namespace

std::optional<std::vector<std::string>>
choose_initial_voters(const std::vector<std::string>& seeds,
                      const std::map<std::string, bool>& durable, const std::string& self,
                      milliseconds waited)
{
    std::set<std::string> voters;
    for (const auto& seed : seeds) {
        const auto found = durable.find(seed);
        if (found == durable.end()) {
            return std::nullopt;
        }
        if (found->second) {
            voters.insert(seed);
        }
    }
    if (!voters.empty()) {
        return std::vector<std::string>{voters.begin(), voters.end()};
    }
    const bool is_first_seed = !seeds.empty() && self == *std::ranges::min_element(seeds);
    if (!is_first_seed || waited < arrival_window) {
        return std::nullopt;
    }
    const auto host = std::ranges::find_if(durable, [](const auto& entry) { return entry.second; });
    return host == durable.end() ? std::nullopt : std::optional{std::vector{host->first}};
}

absl::StatusOr<std::vector<std::string>>
discover_initial_voters(const settings::process_settings& settings)
{
    auto found = initial_voter_discovery{settings}.run();
    log_event line{found.ok() ? severity::info : severity::warning, "initial_voters_known"};
    if (found.ok()) {
        std::string list;
        for (const auto& voter : *found) {
            list += (list.empty() ? "" : ",") + voter;
        }
        line.with("initial_voters", list);
    }
    else {
        line.with("detail", std::string{found.status().message()});
    }
    line.write();
    return found;
}

} // namespace lovagebeam::controlplane
