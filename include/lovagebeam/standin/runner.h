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

/// How a runner treats work. Switched with `POST /standin/mode`.
enum class runner_mode {
    normal,
    failing,  ///< Starts the work and answers 500 at once.
    refusing, ///< Answers 409 before the start.
    silent,   ///< Starts the work and never answers.
    slow,     ///< Takes ten times as long.
    leaving,  ///< Announces that it leaves; still runs what arrives.
};

std::string_view name_of(runner_mode mode);

struct runner_settings {
    base::target_id id;
    std::string failure_domain = "d1";
    std::string rack = "r1";
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::chrono::milliseconds service_time{20};
    /// One line for each start and end of an attempt is appended here; empty for none.
    std::string journal;
};

/// A runner that speaks the target protocol, does no real work and checks what the system promises
/// to targets: its slots and connections, and that no work that may not be repeated comes twice.
/// Thread-safe.
class runner {
public:
    explicit runner(runner_settings settings);

    /// Handles one request of the target protocol or of the stand-in's own control paths.
    void handle(callers::http_request request, const callers::reply& reply);

    /// Tells the open connections, to be checked against the limit.
    void observe_connections(std::uint64_t open);

    /// Returns the body of the announcement for a runner that listens at `where`.
    std::string announcement(const targets::endpoint& where);

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
    void violation(const std::string& text);
    void write_journal(std::string_view what, const targets::running_attempt& identity);
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
