#include "core_directory.h"

#include <arpa/inet.h>
#include <iterator>
#include <netinet/in.h>
#include <utility>

namespace lovagebeam::controlplane {
core_directory::core_directory(std::string self, std::set<std::string> seeds,
                               std::uint64_t first_turn)
    : m_self{std::move(self)}, m_seeds{std::move(seeds)}, m_turn{first_turn}
{
}

bool core_directory::is_address(const std::string& text)
{
    in6_addr parsed{};
    return ::inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
           ::inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

void core_directory::on_heard(base::time_point now, const std::string& address)
{
    std::erase_if(m_heard, [now](const auto& each) { return now - each.second > address_timeout; });
    m_heard[address] = now;
}

void core_directory::on_named(base::time_point now, const std::string& address)
{
    std::erase_if(m_named, [now](const auto& each) { return now - each.second > address_timeout; });
    m_named[address] = now;
}

void core_directory::add_recent(base::time_point now, const times& from, std::set<std::string>& to)
{
    for (const auto& [address, at] : from) {
        if (now - at <= address_timeout) {
            to.insert(address);
        }
    }
}

std::set<std::string> core_directory::confirmed(base::time_point now) const
{
    auto out = m_members;
    out.insert(m_self);
    add_recent(now, m_heard, out);
    return out;
}

std::set<std::string> core_directory::confirmed_or_recorded(base::time_point now) const
{
    auto out = confirmed(now);
    out.insert(m_recorded.begin(), m_recorded.end());
    return out;
}

std::set<std::string> core_directory::known(base::time_point now) const
{
    auto out = confirmed_or_recorded(now);
    out.insert(m_seeds.begin(), m_seeds.end());
    add_recent(now, m_named, out);
    return out;
}

std::string core_directory::next(base::time_point now, const std::string& skipped)
{
    auto others = known(now);
    others.erase(m_self);
    others.erase(skipped);
    if (others.empty()) {
        return {};
    }
    return *std::next(others.begin(), static_cast<std::ptrdiff_t>(m_turn++ % others.size()));
}

} // namespace lovagebeam::controlplane
