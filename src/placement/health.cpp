#include "health.h"

#include <algorithm>

namespace lovagebeam::placement::internal {

namespace {

/// Losses within this time count as one event. Announcements are 500 ms apart, so workers behind
/// one switch are missed within a second of each other.
constexpr base::duration loss_window = std::chrono::seconds{5};
/// How long replacement stays paced after a rack or domain vanished.
constexpr base::duration vanished_time = std::chrono::minutes{2};
constexpr std::uint32_t longest_doubling = 4;

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
    const std::uint32_t enough = m_state.settings.give_up_workers;
    // Where few hosts can hold the job it fails on the same ones again.
    if (job.failed_on.size() >= enough || job.failures >= 2 * enough) {
        // The job is at fault, so its failures don't speak against the workers.
        for (const slot other : job.failed_on) {
            std::erase(m_state.workers[other].failed_jobs, job.spec.id);
        }
        return true;
    }
    const bool command_at_fault = command.size() >= enough;
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
        m_state.out.workers.push_back({at.id, reason::host_restored});
        m_state.freed.push_back(worker);
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
    const std::uint32_t doublings = std::min(worker.quarantines, longest_doubling);
    worker.quarantined = true;
    worker.probation = false;
    ++worker.quarantines;
    worker.quarantine_end = m_state.now + m_state.settings.quarantine_time * (1U << doublings);
    ++m_state.domains[worker.domain].quarantined;
    m_quarantined.push_back(at);
    m_state.out.workers.push_back({worker.id, reason::host_quarantined});
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
        m_state.out.workers.push_back({worker.id, reason::host_on_probation});
        m_state.refresh(at);
        m_state.freed.push_back(at);
        return true;
    });
}

void health::count_loss(losses& group, std::size_t members, std::size_t least)
{
    group.when.push_back(m_state.now);
    while (m_state.now - group.when.front() > loss_window) {
        group.when.pop_front();
    }
    if (group.when.size() >= least && group.when.size() * 2 >= members) {
        group.vanished_until = m_state.now + vanished_time;
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

bool health::vanished(slot at) const
{
    const worker_record& worker = m_state.workers[at];
    const auto lately = [&](const std::vector<losses>& groups, slot group) {
        return group < groups.size() && m_state.now < groups[group].vanished_until;
    };
    return lately(m_racks, worker.rack) || lately(m_domains, worker.domain);
}

} // namespace lovagebeam::placement::internal
