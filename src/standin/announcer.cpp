#include "lovagebeam/standin/announcer.h"

#include <sstream>
#include <stdexcept>
#include <utility>

namespace lovagebeam::standin {
namespace {

constexpr std::chrono::milliseconds interval{500};
constexpr std::chrono::milliseconds answer_time{1'000};

} // namespace

announcer::announcer(targets::http_client& client, timer_queue& timers,
                     std::vector<targets::endpoint> entry_hosts, std::string path, body_source body,
                     answer_sink answer)
    : m_client{client}, m_timers{timers}, m_entry_hosts{std::move(entry_hosts)},
      m_path{std::move(path)}, m_body{std::move(body)}, m_answer{std::move(answer)}
{
}

void announcer::start()
{
    announce();
}

void announcer::announce()
{
    const auto now = std::chrono::steady_clock::now();
    targets::http_call call;
    call.to = m_entry_hosts[m_next++ % m_entry_hosts.size()];
    call.method = "POST";
    call.path = m_path;
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = m_body();
    call.deadline = now + answer_time;
    m_client.send(std::move(call), [this, now](const targets::http_result& result) {
        if (result.answered() && result.status == 200) {
            m_answer(result.body, now);
        }
    });
    m_timers.run_at(now + interval, [this] { announce(); });
}

std::vector<targets::endpoint> parse_endpoints(const std::string& text)
{
    std::vector<targets::endpoint> result;
    std::istringstream parts{text};
    std::string part;
    while (std::getline(parts, part, ',')) {
        const auto colon = part.rfind(':');
        const int port = colon == std::string::npos ? 0 : std::stoi(part.substr(colon + 1));
        if (port < 1 || port > 65535) {
            throw std::invalid_argument{"expected address:port, got \"" + part + "\""};
        }
        result.push_back({part.substr(0, colon), static_cast<std::uint16_t>(port)});
    }
    if (result.empty()) {
        throw std::invalid_argument{"expected at least one address:port"};
    }
    return result;
}

} // namespace lovagebeam::standin
