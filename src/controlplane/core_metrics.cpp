#include "core_metrics.h"

#include <array>
#include <chrono>
#include <string>

namespace lovagebeam::controlplane {
namespace {

std::string with_label(std::string_view name, std::string_view label, std::string_view value)
{
    std::string out{name};
    out.append("{").append(label).append("=\"").append(value).append("\"}");
    return out;
}

double seconds(base::duration time)
{
    return std::chrono::duration<double>{time}.count();
}

} // namespace

void core_metrics::count(std::string_view name, std::string_view label, std::string_view value)
{
    m_registry.counter_named(with_label(name, label, value)).add(1);
}

void core_metrics::record(std::string_view name, std::string_view label, std::string_view value,
                          base::duration took)
{
    m_registry.histogram_named(with_label(name, label, value)).record(seconds(took));
}

void core_metrics::on_applied(const jobs::ledger& records, const proto::jobs::Batch& batch,
                              base::wall_time wall)
{
    for (const auto& operation : batch.operations()) {
        if (operation.has_accept()) {
            count("lovagebeam_jobs_accepted_total", "queue", operation.accept().spec().queue());
        }
        else if (operation.has_place()) {
            const auto run = jobs::from_proto(operation.place().placements(0).task());
            const auto* const job = records.find(run.task.job);
            if (job != nullptr && run.attempt == 1 && run.task.step == 0) {
                record("lovagebeam_first_placement_seconds", "queue", job->spec.queue,
                       wall - job->accepted);
            }
        }
        else if (operation.has_end()) {
            const auto run = jobs::from_proto(operation.end().task());
            count("lovagebeam_runs_ended_total", "how",
                  proto::jobs::EndKind_Name(operation.end().how()));
            if (operation.end().crash_verdict() == proto::jobs::CRASH_VERDICT_CAUSED) {
                m_registry.counter_named("lovagebeam_tasks_given_up_total").add(1);
            }
            const auto* const job = records.find(run.task.job);
            const bool ended_now = job != nullptr && is_final(job->state) &&
                                   job->ended.time_since_epoch().count() == batch.time_ms();
            if (ended_now) {
                record("lovagebeam_job_seconds", "queue", job->spec.queue,
                       job->ended - job->accepted);
                count("lovagebeam_jobs_ended_total", "state", jobs::name_of(job->state));
            }
        }
    }
}

void core_metrics::on_commit(base::duration took)
{
    m_registry.histogram_named("lovagebeam_commit_seconds").record(seconds(took));
}

void core_metrics::on_start_call(jobs::start_outcome outcome, base::duration took)
{
    record("lovagebeam_start_call_seconds", "outcome", jobs::name_of(outcome), took);
}

void core_metrics::on_advice_call(bool is_answered, base::duration took)
{
    record("lovagebeam_advice_call_seconds", "outcome", is_answered ? "answered" : "failed", took);
}

void core_metrics::on_refusal(unsigned status)
{
    count("lovagebeam_requests_refused_total", "status", std::to_string(status));
}

void core_metrics::on_withheld_starts(std::uint64_t count)
{
    m_registry.counter_named("lovagebeam_starts_withheld_total").add(count);
}

void core_metrics::on_decision(const jobs::decision_log_entry& entry)
{
    if (entry.event == "run_stalled" || entry.event == "gang_stalled") {
        count("lovagebeam_runs_stalled_total", "kind", entry.event);
    }
}

void core_metrics::on_judged(std::string_view queue, bool is_admitted)
{
    if (!is_admitted) {
        count("lovagebeam_jobs_refused_total", "queue", queue);
    }
}

// A histogram has no negative values, so forecasts that were too late have one of their own.
void core_metrics::on_forecast(const jobs::forecast_outcome& outcome)
{
    if (outcome.error.count() >= 0) {
        record("lovagebeam_forecast_error_seconds", "queue", outcome.queue, outcome.error);
    }
    else {
        record("lovagebeam_forecast_early_seconds", "queue", outcome.queue, -outcome.error);
    }
    if (outcome.is_worthless) {
        count("lovagebeam_forecast_misses_total", "queue", outcome.queue);
    }
}

void core_metrics::on_preempted(const std::vector<jobs::preempted_run>& runs)
{
    if (runs.empty()) {
        return;
    }
    for (const auto& each : runs) {
        m_registry.counter_named("lovagebeam_runs_preempted_total").add(1);
        m_preempted_core_seconds += each.lost_core_seconds;
    }
    m_registry.gauge_named("lovagebeam_preempted_core_seconds_total").set(m_preempted_core_seconds);
}

void core_metrics::update(const jobs::ledger& records, const jobs::coordinator* leader,
                          base::time_point now)
{
    m_registry.gauge_named("lovagebeam_is_leader").set(leader == nullptr ? 0 : 1);
    m_registry.gauge_named("lovagebeam_configuration_version")
        .set(static_cast<double>(records.catalog_version()));
    m_registry.gauge_named("lovagebeam_core_addresses")
        .set(static_cast<double>(records.core_addresses().size()));
    m_registry.gauge_named("lovagebeam_open_jobs")
        .set(static_cast<double>(records.open_jobs().size()));
    m_registry.gauge_named("lovagebeam_pending_jobs").set(static_cast<double>(records.pending()));
    double usable = 0;
    double draining = 0;
    double quarantined = 0;
    std::size_t evacuated_tasks = 0;
    double cold = 0;
    std::array<double, 3> by_speed{};
    jobs::size capacity;
    jobs::size used;
    for (const auto& [id, info] : records.workers()) {
        usable += leader != nullptr && leader->workers().is_usable(now, id) ? 1 : 0;
        quarantined += leader != nullptr && leader->workers().is_quarantined(now, id) ? 1 : 0;
        draining += info.draining ? 1 : 0;
        evacuated_tasks +=
            records.is_evacuated(info.domain) ? records.placed_on(id).size() : std::size_t{0};
        if (leader != nullptr) {
            cold += leader->speeds().is_cold(now, id) ? 1 : 0;
            by_speed.at(
                static_cast<std::size_t>(scheduling::class_of(leader->speeds().speed(id)))) += 1;
        }
        capacity += info.capacity;
        used += records.used_on(id);
    }
    m_registry.gauge_named("lovagebeam_workers{state=\"known\"}")
        .set(static_cast<double>(records.workers().size()));
    m_registry.gauge_named("lovagebeam_workers{state=\"usable\"}").set(usable);
    m_registry.gauge_named("lovagebeam_workers{state=\"draining\"}").set(draining);
    m_registry.gauge_named("lovagebeam_workers{state=\"quarantined\"}").set(quarantined);
    m_registry.gauge_named("lovagebeam_workers{state=\"cold\"}").set(cold);
    m_registry.gauge_named("lovagebeam_workers{state=\"slow\"}").set(by_speed[0]);
    m_registry.gauge_named("lovagebeam_workers{state=\"fast\"}").set(by_speed[2]);
    m_registry.gauge_named("lovagebeam_capacity_millicores")
        .set(static_cast<double>(capacity.millicores));
    m_registry.gauge_named("lovagebeam_booked_millicores")
        .set(static_cast<double>(used.millicores));
    m_registry.gauge_named("lovagebeam_evacuated_domains")
        .set(static_cast<double>(records.evacuated_count()));
    m_registry.gauge_named("lovagebeam_evacuated_tasks").set(static_cast<double>(evacuated_tasks));
    m_registry.gauge_named("lovagebeam_waiting_steps")
        .set(leader == nullptr ? 0 : static_cast<double>(leader->ready_step_count()));
    if (leader != nullptr) {
        for (const auto& [queue, factor] : leader->estimates().queue_factors()) {
            m_registry.gauge_named(with_label("lovagebeam_estimate_factor", "queue", queue))
                .set(factor);
        }
    }
    m_registry.gauge_named("lovagebeam_waiting_core_seconds")
        .set(leader == nullptr ? 0 : leader->forecast().waiting_core_seconds());
    m_registry.gauge_named("lovagebeam_is_overloaded")
        .set(leader != nullptr && leader->is_overloaded() ? 1 : 0);
    update_accounts(records, leader);
}

void core_metrics::update_accounts(const jobs::ledger& records, const jobs::coordinator* leader)
{
    m_registry.gauge_named("lovagebeam_shares_in_force")
        .set(leader != nullptr && leader->are_shares_in_force() ? 1 : 0);
    const auto counts =
        leader == nullptr ? decltype(leader->order().counts()){} : leader->order().counts();
    for (const auto& [account, count] : counts) {
        m_accounts.insert(account);
    }
    for (const auto& account : m_accounts) {
        const auto set = [&](std::string_view name, double value) {
            m_registry.gauge_named(with_label(name, "account", account)).set(value);
        };
        const auto found = counts.find(account);
        const auto count =
            found == counts.end() ? jobs::step_order::account_counts{} : found->second;
        const auto used = records.used_by(account);
        set("lovagebeam_account_booked_millicores",
            static_cast<double>(
                scheduling::counted_millicores(used.millicores, used.accelerators)));
        set("lovagebeam_account_waiting_steps", static_cast<double>(count.waiting_steps));
        set("lovagebeam_account_jobs_beyond_rate", static_cast<double>(count.jobs_beyond_rate));
    }
}

} // namespace lovagebeam::controlplane
