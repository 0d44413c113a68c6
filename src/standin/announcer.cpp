#include "lovagebeam/standin/announcer.h"

#include <sstream>
#include <stdexcept>
#include <utility>

namespace lovagebeam::standin {
namespace {

constexpr std::chrono::milliseconds announcement_interval{500};
constexpr std::chrono::milliseconds answer_timeout{1'000};

} // namespace

announcer::announcer(targets::http_client& client, timer_queue& timers,
                     std::vector<targets::endpoint> entry_hosts, std::string path,
                     body_factory make_body, answer_callback on_answer)
    : m_client{client}, m_timers{timers}, m_entry_hosts{std::move(entry_hosts)},
      m_path{std::move(path)}, m_make_body{std::move(make_body)}, m_on_answer{std::move(on_answer)}
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
    call.to = m_entry_hosts[m_next_host++ % m_entry_hosts.size()];
    call.method = "POST";
    call.path = m_path;
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = m_make_body();
    call.deadline = now + answer_timeout;
    m_client.send(std::move(call), [this, now](const targets::http_result& result) {
        if (result.answered() && result.status == 200) {
            m_on_answer(result.body, now);
        }
    });
    m_timers.run_at(now + announcement_interval, [this] { announce(); });
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
