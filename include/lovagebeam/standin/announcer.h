#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/standin/timer_queue.h"
#include "lovagebeam/targets/http_client.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace lovagebeam::standin {

/// Sends an announcement every 500 ms to the entry hosts in turn, as the platform's load balancer
/// would distribute them.
class announcer {
public:
    /// Returns the announcement's body.
    using body_factory = std::function<std::string()>;
    /// Receives the body of an answer with status 200 and the time at which the announcement was
    /// created, on the client's thread.
    using answer_callback = std::function<void(const std::string&, base::time_point)>;

    announcer(targets::http_client& client, timer_queue& timers,
              std::vector<targets::endpoint> entry_hosts, std::string path, body_factory make_body,
              answer_callback on_answer);

    /// Sends the first announcement and schedules the rest.
    void start();

private:
    void announce();

    targets::http_client& m_client;
    timer_queue& m_timers;
    std::vector<targets::endpoint> m_entry_hosts;
    std::string m_path;
    body_factory m_make_body;
    answer_callback m_on_answer;
    std::size_t m_next_host = 0;
};

/// Parses "address:port,address:port". Throws std::invalid_argument on malformed text.
std::vector<targets::endpoint> parse_endpoints(const std::string& text);

} // namespace lovagebeam::standin
