#include "lovagebeam/scheduling/preemption_planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace lovagebeam::scheduling {

preemption_planner::amount& preemption_planner::amount::operator+=(const amount& other)
{
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

preemption_planner::amount& preemption_planner::amount::operator-=(const amount& other)
{
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool preemption_planner::amount::fits_in(const amount& limit) const
{
    return millicores <= limit.millicores && memory_mb <= limit.memory_mb &&
           accelerators <= limit.accelerators;
}

struct preemption_planner::cost {
    bool ends_live_gang = false; ///< a gang that can still earn
    bool is_live = false;        ///< a run that can still earn
    std::uint32_t priority = 0;  ///< of the most urgent live run, counted from the least urgent
    double lost_work = 0;        ///< core-seconds
    std::size_t runs = 0;

    friend auto operator<=>(const cost&, const cost&) = default;
};

/// The state of one plan while it is made.
class preemption_planner::attempt {
public:
    attempt(const preemption_planner& planner, base::time_point now, const need& wanted,
            const std::vector<worker>& workers);

    /// Adds room for one more task. Returns false if there is none.
    bool add_task();
    plan take() { return std::move(m_plan); }

private:
    struct place {
        const worker* on = nullptr;
        amount free; ///< with the room on the way
        std::uint32_t tasks_left = 0;
        std::vector<const victim*> victims; ///< in the order in which to stop them
    };
    struct option {
        preemption_planner::cost cost;
        std::vector<const victim*> stops;
    };

    [[nodiscard]] static cost cost_of(const victim& which);
    [[nodiscard]] static amount freed_by(const victim& which, const base::worker_id& on);
    [[nodiscard]] std::optional<option> option_on(const place& at) const;
    [[nodiscard]] bool is_within_limits(const option& chosen) const;
    void accept(place& at, const option& chosen);

    const need& m_wanted;
    std::vector<place> m_places;
    std::set<const victim*> m_chosen;
    std::int64_t m_limit = 0;    ///< millicores
    std::int64_t m_stopping = 0; ///< millicores under preemption
    plan m_plan;
};

preemption_planner::attempt::attempt(const preemption_planner& planner, base::time_point now,
                                     const need& wanted, const std::vector<worker>& workers)
    : m_wanted{wanted}, m_limit{static_cast<std::int64_t>(
                            planner.m_settings.max_fraction *
                            static_cast<double>(wanted.pool_millicores))},
      m_stopping{planner.under_preemption(now, wanted.pool)}
{
    for (const auto& each : workers) {
        // What is being stopped on such a worker may never end, and neither may other runs.
        if (each.max_tasks == 0 || planner.is_overdue(now, each.id)) {
            continue;
        }
        place at{&each, each.free + planner.on_the_way(now, each.id), each.max_tasks, {}};
        for (const auto* const which : *each.victims) {
            if (planner.may_stop(wanted, *which)) {
                at.victims.push_back(which);
            }
        }
        std::ranges::sort(at.victims, {}, [](const victim* which) { return cost_of(*which); });
        m_places.push_back(std::move(at));
    }
}

preemption_planner::cost preemption_planner::attempt::cost_of(const victim& which)
{
    const auto from_least_urgent = std::numeric_limits<std::uint32_t>::max() - which.priority;
    return {which.is_gang && !which.is_expired, !which.is_expired,
            which.is_expired ? 0 : from_least_urgent, which.lost_work, which.runs.size()};
}

preemption_planner::amount preemption_planner::attempt::freed_by(const victim& which,
                                                                 const base::worker_id& on)
{
    amount freed;
    for (const auto& each : which.runs) {
        if (each.worker == on) {
            freed += each.size;
        }
    }
    return freed;
}

// Takes victims in order until the task fits, then leaves out those that turn out not to be needed,
// the most valuable ones first.
std::optional<preemption_planner::attempt::option>
preemption_planner::attempt::option_on(const place& at) const
{
    auto free = at.free;
    std::vector<const victim*> stops;
    for (const auto* const which : at.victims) {
        if (m_wanted.size.fits_in(free)) {
            break;
        }
        if (!m_chosen.contains(which)) {
            free += freed_by(*which, at.on->id);
            stops.push_back(which);
        }
    }
    if (!m_wanted.size.fits_in(free)) {
        return std::nullopt;
    }
    for (auto i = stops.size(); i-- > 0;) {
        const auto freed = freed_by(*stops[i], at.on->id);
        if (m_wanted.size.fits_in(free - freed)) {
            free -= freed;
            stops.erase(stops.begin() + static_cast<std::ptrdiff_t>(i));
        }
    }
    option out;
    for (const auto* const which : stops) {
        const auto one = cost_of(*which);
        out.cost.ends_live_gang = out.cost.ends_live_gang || one.ends_live_gang;
        out.cost.is_live = out.cost.is_live || one.is_live;
        out.cost.priority = std::max(out.cost.priority, one.priority);
        out.cost.lost_work += one.lost_work;
        out.cost.runs += one.runs;
    }
    out.stops = std::move(stops);
    return out;
}

bool preemption_planner::attempt::is_within_limits(const option& chosen) const
{
    double loss = 0;
    std::int64_t millicores = 0;
    for (const auto* const which : chosen.stops) {
        loss += which->is_expired ? 0 : which->loss;
        for (const auto& each : which->runs) {
            millicores += each.size.millicores;
        }
    }
    if (chosen.stops.empty()) {
        return true;
    }
    // A single run may be larger than the limit of a small pool.
    const bool is_first = m_stopping == 0 && chosen.stops.size() == 1 && chosen.cost.runs == 1;
    return loss < m_wanted.worth && (is_first || m_stopping + millicores <= m_limit);
}

void preemption_planner::attempt::accept(place& at, const option& chosen)
{
    for (const auto* const which : chosen.stops) {
        m_chosen.insert(which);
        m_plan.stops.push_back(which);
        for (const auto& each : which->runs) {
            m_stopping += each.size.millicores;
            const auto found = std::ranges::find(m_places, each.worker,
                                                 [](const place& one) { return one.on->id; });
            if (found != m_places.end()) {
                found->free += each.size;
            }
        }
    }
    at.free -= m_wanted.size;
    --at.tasks_left;
    m_plan.rooms.push_back(at.on->id);
}

bool preemption_planner::attempt::add_task()
{
    place* best = nullptr;
    option best_option;
    for (auto& at : m_places) {
        if (at.tasks_left == 0) {
            continue;
        }
        auto next = option_on(at);
        if (next && is_within_limits(*next) && (best == nullptr || next->cost < best_option.cost)) {
            best = &at;
            best_option = *std::move(next);
        }
    }
    if (best == nullptr) {
        return false;
    }
    accept(*best, best_option);
    return true;
}

preemption_planner::plan preemption_planner::make_plan(base::time_point now, const need& wanted,
                                                       const std::vector<worker>& workers) const
{
    attempt made{*this, now, wanted, workers};
    for (std::uint32_t task = 0; task < wanted.tasks; ++task) {
        if (!made.add_task()) {
            return wanted.is_whole ? plan{} : made.take();
        }
    }
    return made.take();
}

bool preemption_planner::may_stop(const need& wanted, const victim& which) const
{
    return !which.is_long_running && which.priority > wanted.priority && !which.runs.empty() &&
           (which.is_expired || which.loss < wanted.worth) &&
           std::ranges::none_of(which.runs, [this](const run& each) {
               return is_stopping(each.id) ||
                      times_preempted(each.id.task) >= m_settings.max_preemptions;
           });
}

void preemption_planner::on_stop_ordered(base::time_point now, const std::string& pool,
                                         const victim& stopped)
{
    for (const auto& each : stopped.runs) {
        if (m_stopping.emplace(each.id, stop{each.worker, each.size, pool, now}).second) {
            m_stopping_on[each.worker].push_back(each.id);
            ++m_counts[each.id.task];
        }
    }
}

bool preemption_planner::on_run_ended(const run_id& ended)
{
    const auto found = m_stopping.find(ended);
    if (found == m_stopping.end()) {
        return false;
    }
    const auto on = m_stopping_on.find(found->second.worker);
    std::erase(on->second, ended);
    if (on->second.empty()) {
        m_stopping_on.erase(on);
    }
    m_stopping.erase(found);
    return true;
}

void preemption_planner::assume(const task_id& task, std::uint32_t times)
{
    if (times > 0) {
        auto& count = m_counts[task];
        count = std::max(count, times);
    }
}

void preemption_planner::forget(std::uint64_t job)
{
    auto entry = m_counts.lower_bound({job, 0, 0, 0});
    while (entry != m_counts.end() && entry->first.job == job) {
        entry = m_counts.erase(entry);
    }
}

std::uint32_t preemption_planner::times_preempted(const task_id& task) const
{
    const auto found = m_counts.find(task);
    return found == m_counts.end() ? 0 : found->second;
}

preemption_planner::amount preemption_planner::on_the_way(base::time_point now,
                                                          const base::worker_id& on) const
{
    amount sum;
    if (const auto found = m_stopping_on.find(on); found != m_stopping_on.end()) {
        for (const auto& id : found->second) {
            const auto& which = m_stopping.at(id);
            sum += is_overdue(now, which) ? amount{} : which.size;
        }
    }
    return sum;
}

bool preemption_planner::is_overdue(base::time_point now, const base::worker_id& on) const
{
    const auto found = m_stopping_on.find(on);
    return found != m_stopping_on.end() &&
           std::ranges::any_of(
               found->second, [&](const run_id& id) { return is_overdue(now, m_stopping.at(id)); });
}

std::vector<base::worker_id> preemption_planner::stopping_workers() const
{
    std::vector<base::worker_id> out;
    out.reserve(m_stopping_on.size());
    for (const auto& [on, runs] : m_stopping_on) {
        out.push_back(on);
    }
    return out;
}

std::vector<preemption_planner::run_id> preemption_planner::stopping() const
{
    std::vector<run_id> out;
    out.reserve(m_stopping.size());
    for (const auto& [id, which] : m_stopping) {
        out.push_back(id);
    }
    return out;
}

std::int64_t preemption_planner::under_preemption(base::time_point now,
                                                  const std::string& pool) const
{
    std::int64_t sum = 0;
    for (const auto& [id, which] : m_stopping) {
        sum += which.pool == pool && !is_overdue(now, which) ? which.size.millicores : 0;
    }
    return sum;
}

} // namespace lovagebeam::scheduling
