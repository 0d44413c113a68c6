#include "lovagebeam/scheduling/admission_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lovagebeam::scheduling {
namespace {

using std::chrono::milliseconds;

/// Steps are ordered by the end of the objective in intervals of this length.
constexpr milliseconds due_interval{250};
/// A pool without usable workers is expected to free this much, so that a few jobs wait for its
/// workers and a long queue is refused.
constexpr std::int64_t min_rate = 1'000;
/// Longest wait that is told apart, in milliseconds: 30 days.
constexpr double longest_time = 30.0 * 24 * 3'600 * 1'000;

milliseconds time_for(double work, std::int64_t rate)
{
    return milliseconds{
        static_cast<std::int64_t>(std::min(work / static_cast<double>(rate), longest_time))};
}

/// Spreads the bits of an id evenly (the finalizer of SplitMix64).
std::uint64_t hash_of(std::uint64_t id)
{
    id = (id ^ (id >> 30U)) * 0xbf58476d1ce4e5b9U;
    id = (id ^ (id >> 27U)) * 0x94d049bb133111ebU;
    return id ^ (id >> 31U);
}

} // namespace

admission_forecast::amounts& admission_forecast::amounts::operator+=(const amounts& other)
{
    work += other.work;
    waiting += other.waiting;
    held += other.held;
    return *this;
}

admission_forecast::amounts& admission_forecast::amounts::operator-=(const amounts& other)
{
    work -= other.work;
    waiting -= other.waiting;
    held -= other.held;
    return *this;
}

admission_forecast::admission_forecast(admission_settings settings, base::time_point now)
    : m_settings{settings}, m_quiet_until{now + settings.quiet}, m_now{now}
{
}

std::int64_t admission_forecast::interval_of(base::wall_time due)
{
    return due.time_since_epoch() / due_interval;
}

void admission_forecast::add(const item& to, const amounts& more)
{
    auto& pool = m_pools[to.pool];
    auto& of = pool.levels[to.priority];
    pool.held += more.held;
    of.total += more;
    of.by_due[to.interval] += more;
}

void admission_forecast::subtract(const item& from, const amounts& less)
{
    auto& pool = m_pools[from.pool];
    auto& of = pool.levels[from.priority];
    pool.held -= less.held;
    of.total -= less;
    auto& in_interval = of.by_due[from.interval];
    in_interval -= less;
    if (in_interval.work == 0 && in_interval.waiting == 0 && in_interval.held == 0) {
        of.by_due.erase(from.interval);
    }
}

void admission_forecast::put(const work_key& key, const std::string& pool, std::uint32_t priority,
                             base::wall_time due, const amounts& counted)
{
    if (m_items.contains(key)) {
        update(key, counted);
        return;
    }
    const auto& added =
        m_items.emplace(key, item{pool, priority, interval_of(due), counted, false}).first->second;
    add(added, counted);
    auto& of = m_pools[pool].levels[priority];
    drop_place(of, key.job);
    // What a new leader finds in its records says nothing about the rate at which work arrives.
    if (m_has_ticked) {
        of.arrivals = arrival_rate(of) *
                          static_cast<double>(milliseconds{m_settings.arrival_window}.count()) +
                      static_cast<double>(counted.work);
        of.arrivals_at = m_now;
    }
}

void admission_forecast::update(const work_key& key, const amounts& counted)
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return;
    }
    auto next = counted;
    if (found->second.is_expired) {
        next.work = 0;
        next.waiting = 0;
    }
    add(found->second, next);
    subtract(found->second, found->second.counted);
    found->second.counted = next;
}

void admission_forecast::remove(std::uint64_t job)
{
    auto each = m_items.lower_bound({job, 0, 0});
    while (each != m_items.end() && each->first.job == job) {
        subtract(each->second, each->second.counted);
        each = m_items.erase(each);
    }
}

void admission_forecast::expire(std::uint64_t job, std::uint32_t occurrence)
{
    for (auto each = m_items.lower_bound({job, occurrence, 0});
         each != m_items.end() && each->first.job == job && each->first.occurrence == occurrence;
         ++each) {
        each->second.is_expired = true;
        update(each->first, each->second.counted);
    }
}

void admission_forecast::tick(base::time_point now, base::wall_time wall,
                              const std::vector<std::pair<std::string, supply>>& pools,
                              std::size_t known_workers, std::size_t usable_workers)
{
    m_now = now;
    m_has_ticked = true;
    const bool has_contact = usable_workers * 2 >= known_workers;
    if (!has_contact && m_has_contact) {
        m_quiet_until = std::max(m_quiet_until, now + m_settings.quiet);
    }
    m_has_contact = has_contact;
    for (const auto& [name, available] : pools) {
        auto& pool = m_pools[name];
        std::int64_t waiting = 0;
        for (const auto& [priority, of] : pool.levels) {
            waiting += of.total.waiting;
        }
        const auto reserved = m_settings.urgent_headroom * static_cast<double>(available.capacity);
        const bool is_unused =
            waiting > 0 && available.capacity > 0 &&
            static_cast<double>(available.free) - reserved >=
                m_settings.unused_fraction * static_cast<double>(available.capacity);
        if (!is_unused) {
            pool.unused_since.reset();
        }
        else if (!pool.unused_since) {
            pool.unused_since = now;
        }
    }
    for (auto& [name, pool] : m_pools) {
        for (auto& [priority, of] : pool.levels) {
            static_cast<void>(is_behind(of, now, wall));
            while (!of.returns.empty() &&
                   of.returns.begin()->first + m_settings.return_grace <= now) {
                drop_place(of, of.returns.begin()->second);
            }
        }
    }
}

double admission_forecast::arrival_rate(const level& of) const
{
    const std::chrono::duration<double> age{m_now - of.arrivals_at};
    const std::chrono::duration<double> window{m_settings.arrival_window};
    return of.arrivals * std::exp(-age / window) /
           static_cast<double>(milliseconds{m_settings.arrival_window}.count());
}

// What arrives with a higher priority later is served first as well.
std::int64_t admission_forecast::rate(const pool_state& pool, std::uint32_t priority,
                                      const supply& available) const
{
    const auto capacity = static_cast<double>(std::max<std::int64_t>(available.capacity, 0));
    auto freed = capacity - static_cast<double>(pool.held);
    if (priority > 0) {
        freed -= capacity * m_settings.urgent_headroom;
    }
    for (const auto& [higher, of] : pool.levels) {
        if (higher < priority) {
            freed -= arrival_rate(of);
        }
    }
    freed = std::max(freed, capacity * m_settings.min_share);
    return std::max(min_rate, static_cast<std::int64_t>(freed * m_settings.efficiency));
}

admission_forecast::amounts admission_forecast::ahead(const pool_state& pool,
                                                      std::uint32_t priority, base::wall_time due)
{
    amounts out;
    for (const auto& [each, of] : pool.levels) {
        if (each < priority) {
            out += of.total;
        }
        else if (each == priority) {
            const auto end = of.by_due.upper_bound(interval_of(due));
            for (auto one = of.by_due.begin(); one != end; ++one) {
                out += one->second;
            }
        }
    }
    return out;
}

bool admission_forecast::is_behind(level& of, base::time_point now, base::wall_time wall) const
{
    amounts late;
    const auto end = of.by_due.lower_bound(interval_of(wall));
    for (auto one = of.by_due.begin(); one != end; ++one) {
        late += one->second;
    }
    const bool out =
        late.work > 0 && static_cast<double>(late.work) >=
                             m_settings.late_fraction * static_cast<double>(of.total.work);
    if (out) {
        of.late_at = now;
    }
    return out;
}

bool admission_forecast::is_quiet(base::time_point now) const
{
    return now < m_quiet_until;
}

bool admission_forecast::has_room(const pool_state& pool, base::time_point now,
                                  const new_job& candidate, const supply& available,
                                  const amounts& before) const
{
    auto free = static_cast<double>(available.free);
    if (candidate.priority > 0) {
        free -= m_settings.urgent_headroom * static_cast<double>(available.capacity);
    }
    const bool is_unused = pool.unused_since && now - *pool.unused_since >= m_settings.unused_time;
    if (!is_unused) {
        free -= static_cast<double>(before.waiting);
    }
    return free >= static_cast<double>(candidate.first_millicores);
}

milliseconds admission_forecast::longest_wait(level& of, base::time_point now, base::wall_time wall,
                                              const new_job& candidate) const
{
    const auto in_time = std::max(candidate.objective - candidate.chain, m_settings.min_wait);
    const bool is_late_lately =
        is_behind(of, now, wall) || (of.late_at && now - *of.late_at < m_settings.late_memory);
    if (is_late_lately) {
        return in_time;
    }
    // A job that isn't in time is passed by those that are accepted during its objective and can be
    // in time.
    const auto worthless = std::chrono::duration_cast<milliseconds>(
        candidate.objective * (m_settings.worthless_objectives - 1));
    return std::max(worthless - candidate.chain, in_time);
}

admission_forecast::verdict admission_forecast::judge(base::time_point now, base::wall_time wall,
                                                      const new_job& candidate,
                                                      const supply& available)
{
    auto& pool = m_pools[candidate.pool];
    auto& of = pool.levels[candidate.priority];
    const auto before = ahead(pool, candidate.priority, candidate.due);
    verdict out;
    out.rate = rate(pool, candidate.priority, available);
    out.work_ahead = before.work;
    const bool is_free = has_room(pool, now, candidate, available, before);
    const auto wait =
        is_free ? milliseconds{0} : time_for(static_cast<double>(before.work), out.rate);
    out.expected_end = wait + candidate.chain;
    if (candidate.is_exempt || is_free || is_quiet(now) || wait <= m_settings.min_wait) {
        return out;
    }
    const auto found = of.places.find(candidate.id);
    const bool has_place = found != of.places.end();
    const bool comes_early = has_place && now < found->second.returns;
    const auto in_time = std::max(candidate.objective - candidate.chain, m_settings.min_wait);
    if (has_place && !comes_early && wait <= in_time) {
        return out;
    }
    // Jobs that were refused before come first.
    const auto promised =
        has_place && !comes_early ? 0 : of.promised - (has_place ? found->second.work : 0);
    const auto whole_wait = time_for(static_cast<double>(before.work + promised), out.rate);
    if (whole_wait <= longest_wait(of, now, wall, candidate)) {
        return out;
    }
    std::int64_t work_ahead = promised;
    for (const auto& [priority, each] : pool.levels) {
        work_ahead += priority <= candidate.priority ? each.total.work : 0;
    }
    out.is_admitted = false;
    out.retry_after = comes_early
                          ? std::max(m_settings.min_retry,
                                     std::chrono::ceil<milliseconds>(found->second.returns - now))
                          : keep_place(of, now, candidate, work_ahead, out.rate);
    return out;
}

milliseconds admission_forecast::keep_place(level& of, base::time_point now,
                                            const new_job& candidate, std::int64_t work_ahead,
                                            std::int64_t freed) const
{
    // Until then planning would serve it before work that is accepted and by then late.
    const auto excess = time_for(static_cast<double>(work_ahead), freed) - m_settings.min_wait;
    const milliseconds spread{static_cast<std::int64_t>(
        hash_of(candidate.id) % static_cast<std::uint64_t>(m_settings.retry_spread.count()))};
    const auto out = std::max(excess, m_settings.min_retry) + spread;
    drop_place(of, candidate.id);
    if (of.places.size() < m_settings.max_places) {
        of.places[candidate.id] = {candidate.work, now + out};
        of.returns.emplace(now + out, candidate.id);
        of.promised += candidate.work;
    }
    return out;
}

void admission_forecast::drop_place(level& of, std::uint64_t job)
{
    const auto found = of.places.find(job);
    if (found != of.places.end()) {
        of.promised -= found->second.work;
        of.returns.erase({found->second.returns, job});
        of.places.erase(found);
    }
}

std::optional<base::wall_time> admission_forecast::take_expected(std::uint64_t job)
{
    const auto found = m_expected.find(job);
    if (found == m_expected.end()) {
        return std::nullopt;
    }
    const auto out = found->second;
    m_expected.erase(found);
    return out;
}

std::int64_t admission_forecast::work(const std::string& pool, std::uint32_t priority) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return 0;
    }
    const auto of = found->second.levels.find(priority);
    return of == found->second.levels.end() ? 0 : of->second.total.work;
}

double admission_forecast::waiting_core_seconds() const
{
    double out = 0;
    for (const auto& [name, pool] : m_pools) {
        for (const auto& [priority, of] : pool.levels) {
            out += static_cast<double>(of.total.work);
        }
    }
    return out / 1e6;
}

} // namespace lovagebeam::scheduling
