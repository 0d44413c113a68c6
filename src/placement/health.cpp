#include "health.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

namespace {

/// Losses within this time count as one outage. Announcements are 500 ms apart, so the losses of
/// workers behind one switch are noticed within a second of each other.
constexpr base::duration loss_window = std::chrono::seconds{5};
/// Time after the outage of a rack or domain during which its tasks are replaced at a limited rate.
constexpr base::duration outage_duration = std::chrono::minutes{2};
/// Bounds the exponential growth of the quarantine time.
constexpr std::uint32_t max_doublings = 4;

bool add_distinct(std::vector<slot>& to, slot value)
{
    if (std::find(to.begin(), to.end(), value) != to.end()) {
        return false;
    }
    to.push_back(value);
    return true;
}

} // namespace

bool health::on_failure(slot job_at, slot worker)
{
    job_record& job = m_state.jobs[job_at];
    ++job.failures;
    add_distinct(job.failed_on, worker);
    auto& command = m_command_failed_on[{job.team, job.spec.command}];
    if (command.size() < 16) {
        add_distinct(command, worker);
    }
    const std::uint32_t failure_limit = m_state.settings.give_up_workers;
    // The total also counts, because a job that fits on few hosts fails repeatedly on the same
    // ones.
    if (job.failed_on.size() >= failure_limit || job.failures >= 2 * failure_limit) {
        // The job is at fault, so its failures no longer count against the workers.
        for (const slot other : job.failed_on) {
            std::erase(m_state.workers[other].failed_jobs, job.spec.id);
        }
        return true;
    }
    const bool command_at_fault = command.size() >= failure_limit;
    if (!command_at_fault) {
        count_failure(job.spec.id, worker);
    }
    if (m_state.workers[worker].probation && !command_at_fault) {
        quarantine(worker);
    }
    return false;
}

void health::on_refusal(slot job, slot worker)
{
    count_failure(m_state.jobs[job].spec.id, worker);
}

void health::on_success(slot job, slot worker)
{
    const job_record& record = m_state.jobs[job];
    m_command_failed_on.erase({record.team, record.spec.command});
    worker_record& at = m_state.workers[worker];
    at.failed_jobs.clear();
    if (at.probation) {
        at.probation = false;
        at.quarantines = 0;
        m_state.output.workers.push_back({at.id, reason::host_restored});
        m_state.freed_workers.push_back(worker);
    }
}

void health::count_failure(const base::job_id& job, slot worker)
{
    auto& failed = m_state.workers[worker].failed_jobs;
    if (std::find(failed.begin(), failed.end(), job) == failed.end()) {
        failed.push_back(job);
    }
    if (failed.size() >= m_state.settings.quarantine_jobs) {
        quarantine(worker);
    }
}

bool health::quarantine_allowed(slot domain) const
{
    const domain_record& record = m_state.domains[domain];
    const double bound = m_state.settings.quarantine_fraction * record.present;
    return record.quarantined + 1 <= bound;
}

void health::quarantine(slot at)
{
    worker_record& worker = m_state.workers[at];
    if (worker.quarantined || worker.domain == no_slot || !quarantine_allowed(worker.domain)) {
        return;
    }
    const std::uint32_t doublings = std::min(worker.quarantines, max_doublings);
    worker.quarantined = true;
    worker.probation = false;
    ++worker.quarantines;
    worker.quarantine_end = m_state.now + m_state.settings.quarantine_time * (1U << doublings);
    ++m_state.domains[worker.domain].quarantined;
    m_quarantined.push_back(at);
    m_state.output.workers.push_back({worker.id, reason::host_quarantined});
    m_state.refresh(at);
}

void health::on_tick()
{
    std::erase_if(m_quarantined, [this](slot at) {
        worker_record& worker = m_state.workers[at];
        if (m_state.now < worker.quarantine_end) {
            return false;
        }
        worker.quarantined = false;
        worker.probation = true;
        worker.failed_jobs.clear();
        --m_state.domains[worker.domain].quarantined;
        m_state.output.workers.push_back({worker.id, reason::host_on_probation});
        m_state.refresh(at);
        m_state.freed_workers.push_back(at);
        return true;
    });
}

void health::count_loss(losses& group, std::size_t members, std::size_t min_losses)
{
    group.when.push_back(m_state.now);
    while (m_state.now - group.when.front() > loss_window) {
        group.when.pop_front();
    }
    if (group.when.size() >= min_losses && group.when.size() * 2 >= members) {
        group.outage_until = m_state.now + outage_duration;
    }
}

void health::on_lost(slot at)
{
    const worker_record& worker = m_state.workers[at];
    if (worker.domain == no_slot) {
        return;
    }
    m_racks.resize(m_state.racks.size());
    m_domains.resize(m_state.domains.size());
    std::size_t in_rack = 0;
    std::size_t in_domain = 0;
    for (const worker_record& other : m_state.workers) {
        in_rack += other.rack == worker.rack && other.domain != no_slot ? 1 : 0;
        in_domain += other.domain == worker.domain ? 1 : 0;
    }
    count_loss(m_racks[worker.rack], in_rack, 3);
    count_loss(m_domains[worker.domain], in_domain, 6);
}

bool health::in_outage(slot at) const
{
    const worker_record& worker = m_state.workers[at];
    const auto has_outage = [&](const std::vector<losses>& groups, slot group) {
        return group < groups.size() && m_state.now < groups[group].outage_until;
    };
    return has_outage(m_racks, worker.rack) || has_outage(m_domains, worker.domain);
}

} // namespace lovagebeam::placement::internal
