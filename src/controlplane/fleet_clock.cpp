#include "fleet_clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace lovagebeam::controlplane {
namespace {

/// Several times the interval of the reports.
constexpr std::chrono::seconds max_reading_age{3};
constexpr std::chrono::milliseconds update_interval{100};
/// With the clock of this host, the smallest number of readings in which one can be outvoted.
constexpr std::size_t min_readings = 2;

base::duration offset_of(base::time_point now, base::wall_time wall)
{
    return wall.time_since_epoch() - now.time_since_epoch();
}

} // namespace

void fleet_clock::on_reading(base::time_point now, const std::string& host, base::wall_time wall)
{
    m_readings.insert_or_assign(host, reading{offset_of(now, wall), now});
}

void fleet_clock::update(base::time_point now, base::wall_time own)
{
    m_next_update = now + update_interval;
    std::erase_if(m_readings, [now](const auto& entry) {
        return now - entry.second.read_at >= max_reading_age;
    });
    m_median.reset();
    if (m_readings.size() < min_readings) {
        return;
    }
    std::vector<base::duration> offsets{offset_of(now, own)};
    offsets.reserve(m_readings.size() + 1);
    for (const auto& [host, last] : m_readings) {
        offsets.push_back(last.offset);
    }
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    m_median = *middle;
}

base::wall_time fleet_clock::wall(base::time_point now, base::wall_time own)
{
    if (now >= m_next_update) {
        update(now, own);
    }
    return m_median ? base::wall_time{std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch() + *m_median)}
                    : own;
}

} // namespace lovagebeam::controlplane
