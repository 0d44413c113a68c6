#pragma once

#include "lovagebeam/callers/http_server.h"
#include "lovagebeam/standin/timer_queue.h"
#include "lovagebeam/targets/protocol.h"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::standin {

/// How a runner handles work. Set with `POST /standin/mode`.
enum class runner_mode {
    normal,
    failing,  ///< Starts the work and answers 500 at once.
    refusing, ///< Answers 409 without starting the work.
    silent,   ///< Starts the work and never answers.
    slow,     ///< Takes ten times as long.
    leaving,  ///< Announces that it is leaving; still runs the work that arrives.
};

std::string_view name_of(runner_mode mode);

struct runner_settings {
    base::target_id id;
    std::string failure_domain = "d1";
    std::string rack = "r1";
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::chrono::milliseconds service_time{20};
    /// File to which a line for each start and end of an attempt is appended; empty for none.
    std::string journal;
};

/// A runner that implements the target protocol without doing real work. Checks the guarantees that
/// the system gives to targets: the limits on slots and connections are respected, and work that
/// may not be repeated arrives only once. Thread-safe.
class runner {
public:
    explicit runner(runner_settings settings);

    /// Handles one request of the target protocol or of the stand-in's own control paths.
    void handle(callers::http_request request, const callers::reply& reply);

    /// Checks the number of open connections against the limit.
    void check_connections(std::uint64_t open);

    /// Returns the body of the announcement for a runner that listens on `endpoint`.
    std::string announcement(const targets::endpoint& endpoint);

private:
    struct attempt {
        targets::running_attempt identity;
        targets::attempt_state state = targets::attempt_state::running;
        std::string answer;
    };

    void fence(const callers::http_request& request, const callers::reply& reply);
    void run(callers::http_request request, const callers::reply& reply);
    void start(const targets::run_request& request, const callers::reply& reply);
    void finish(const base::attempt_id& id, const callers::reply& reply);
    void query(std::string_view id, const callers::reply& reply);
    void set_mode(const std::string& name, const callers::reply& reply);
    void report(const callers::reply& reply);
    void record_violation(const std::string& text);
    void write_journal(std::string_view event, const targets::running_attempt& identity);
    [[nodiscard]] std::vector<targets::running_attempt> running() const;
    std::string answer_body(const targets::run_request& request) const;

    std::mutex m_mutex;
    runner_settings m_settings;
    runner_mode m_mode = runner_mode::normal;
    base::epoch m_epoch;
    std::map<base::attempt_id, attempt> m_attempts;
    std::uint32_t m_running = 0;
    std::uint64_t m_started = 0;
    std::vector<std::string> m_violations;
    std::vector<callers::reply> m_unanswered;
    std::ofstream m_journal;
    timer_queue m_timers;
};

} // namespace lovagebeam::standin
