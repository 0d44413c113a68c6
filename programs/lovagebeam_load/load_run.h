#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/base/types.h"
#include "lovagebeam/routing/types.h"
#include "lovagebeam/targets/http_client.h"
#include "lovagebeam/telemetry/metrics.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lovagebeam::load {

/// A team that sends requests, and its key.
struct team_credentials {
    std::string team;
    std::string key;
};

struct load_settings {
    std::vector<targets::endpoint> hosts;
    std::vector<team_credentials> teams;
    std::uint64_t seed = 1;
    double requests_per_second = 100;
    std::chrono::seconds duration{10};
    /// Fractions of the requests that are urgent and batch; the rest is interactive.
    double urgent_fraction = 0.5;
    double batch_fraction = 0.3;
    /// Fraction of the requests that may not be repeated.
    double unrepeatable_fraction = 0;
    /// Fraction of the requests that are sent a second time to another host, as after a lost
    /// answer.
    double resend_fraction = 0;
    /// Number of distinct work keys per team; 0 sends requests without work keys.
    std::uint64_t work_keys = 0;
    std::chrono::milliseconds deadline{5'000};
    /// File to which a line for each answer is appended; empty for none.
    std::string history;
};

/// Counts of the requests and of their answers.
struct load_result {
    std::uint64_t sent = 0;
    std::uint64_t resent = 0;
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> codes;
    /// Completed answers that belong to another request or are incomplete.
    std::uint64_t wrong_answers = 0;
    /// Answers whose outcome isn't completed and that carry no error object.
    std::uint64_t malformed_answers = 0;
};

/// Sends a seeded open-loop workload through the entry hosts and checks every answer.
class load_run {
public:
    explicit load_run(load_settings settings);

    /// Sends everything and waits for the answers.
    load_result run();

    /// Returns a quantile of the time from sending a request until its complete answer, over the
    /// completed requests.
    [[nodiscard]] double latency_seconds(routing::work_class priority, double quantile) const;

private:
    struct request {
        std::uint64_t number = 0;
        const team_credentials* team = nullptr;
        routing::work_class priority = routing::work_class::interactive;
        bool repeatable = true;
        std::string id;
        std::string work_key;
        std::string body;
    };

    request make_request(std::uint64_t number);
    void send(const request& item, const targets::endpoint& to);
    void on_answer(const request& item, base::time_point sent_at,
                   const targets::http_result& answer);
    void check_answer(const request& item, const targets::http_result& answer);

    load_settings m_settings;
    base::random_source m_random;
    targets::http_client m_client;
    std::mutex m_mutex;
    load_result m_result;
    std::ofstream m_history;
    std::array<telemetry::duration_histogram, routing::work_class_count> m_latency;
    std::atomic<std::uint64_t> m_open_requests = 0;
};

} // namespace lovagebeam::load
