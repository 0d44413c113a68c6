#include "lovagebeam/placement/scheduler.h"

#include "lovagebeam/base/errors.h"

#include "implementation.h"

namespace lovagebeam::placement {

scheduler::scheduler(std::unique_ptr<implementation> self) : m_self{std::move(self)} {}

scheduler::scheduler(scheduler&&) noexcept = default;

scheduler& scheduler::operator=(scheduler&&) noexcept = default;

scheduler::~scheduler() = default;

decisions scheduler::step(base::time_point now, const event& input)
{
    return m_self->step(now, input);
}

std::optional<explanation> scheduler::explain(const base::job_id& job) const
{
    return m_self->jobs().explain(job);
}

std::optional<worker_view> scheduler::worker(const base::worker_id& worker) const
{
    const internal::cell& state = m_self->state();
    const internal::slot at = state.find_worker(worker);
    if (at == internal::no_slot) {
        return std::nullopt;
    }
    const internal::worker_record& record = state.workers[at];
    return worker_view{record.id, record.capacity, record.booked,
                       static_cast<std::uint32_t>(record.tasks.size()), state.usable(record)};
}

std::vector<team_view> scheduler::teams() const
{
    const internal::cell& state = m_self->state();
    std::vector<team_view> result;
    for (const internal::team_record& team : state.teams) {
        result.push_back(
            {team.id, team.settings, team.booked, state.dominant_share(team.booked), team.waiting});
    }
    return result;
}

std::optional<team_view> scheduler::team(const base::team_id& team) const
{
    const internal::cell& state = m_self->state();
    const auto at = state.team_by_id.find(team.str());
    if (at == state.team_by_id.end()) {
        return std::nullopt;
    }
    const internal::team_record& record = state.teams[at->second];
    return team_view{record.id, record.settings, record.booked, state.dominant_share(record.booked),
                     record.waiting};
}

fleet_view scheduler::fleet() const
{
    const internal::cell& state = m_self->state();
    fleet_view result;
    for (const internal::domain_record& domain : state.domains) {
        result.workers += domain.present;
    }
    result.running = state.tasks.live();
    result.waiting = state.waiting;
    result.capacity = state.capacity;
    result.booked = state.booked;
    return result;
}

scheduler_builder& scheduler_builder::settings(const scheduler_settings& settings)
{
    m_settings = settings;
    return *this;
}

scheduler_builder& scheduler_builder::recovered(recovered_state state)
{
    m_recovered = std::move(state);
    return *this;
}

absl::StatusOr<scheduler> scheduler_builder::build(base::time_point now)
{
    const auto is_fraction = [](double value) { return value >= 0.0 && value < 1.0; };
    if (!is_fraction(m_settings.clock_drift) || !is_fraction(m_settings.urgent_headroom) ||
        !is_fraction(m_settings.quarantine_fraction)) {
        return base::make_error(base::error_code::invalid_settings,
                                "clock_drift, urgent_headroom and quarantine_fraction must be in "
                                "[0, 1)");
    }
    if (m_settings.task_lease <= base::duration::zero() || m_settings.quarantine_jobs == 0 ||
        m_settings.give_up_workers == 0 || m_settings.replacements_per_second == 0) {
        return base::make_error(base::error_code::invalid_settings,
                                "task_lease, quarantine_jobs, give_up_workers and "
                                "replacements_per_second must be positive");
    }
    return scheduler{std::make_unique<scheduler::implementation>(m_settings, m_recovered, now)};
}

} // namespace lovagebeam::placement
