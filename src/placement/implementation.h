#pragma once

#include "balancer.h"
#include "corrector.h"
#include "gang_planner.h"
#include "health.h"
#include "lifecycle.h"
#include "preemptor.h"

namespace lovagebeam::placement {

/// Dispatches events to the components of the scheduler and owns these components.
class scheduler::implementation {
public:
    implementation(const scheduler_settings& settings, const recovered_state& recovered,
                   base::time_point now);

    decisions step(base::time_point now, const event& input);

    [[nodiscard]] const internal::cell& state() const { return m_state; }
    [[nodiscard]] const internal::lifecycle& jobs() const { return m_jobs; }

private:
    void handle(const tick& input);
    void handle(const worker_seen& input);
    void handle(const worker_lost& input);
    void handle(const worker_draining& input);
    void handle(const job_accepted& input);
    void handle(const task_ended& input);
    void handle(const lease_expired& input);
    void handle(const usage_reported& input);
    void handle(const task_throttled& input);
    void handle(const cancel_job& input);
    void handle(const decision_committed& input);
    void handle(const decision_failed& input);
    void handle(const team_changed& input);

    void recover(const recovered_state& from);
    void process_report(internal::slot worker, const task_report& report);
    void restart_unreported(internal::slot worker);
    [[nodiscard]] std::optional<job_update> refusal_of(const job_spec& spec);

    internal::cell m_state;
    internal::dispatcher m_dispatcher;
    internal::preemptor m_preemptor;
    internal::corrector m_corrector;
    internal::health m_health;
    internal::gang_planner m_gangs;
    internal::balancer m_balancer;
    internal::lifecycle m_jobs;
    base::time_point m_built_at{};
    base::time_point m_last_tick{};
};

} // namespace lovagebeam::placement
