#include "random_cell.h"
#include "support/seed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace lovagebeam::placement::test {

job_spec random_cell::random_spec()
{
    job_spec spec;
    spec.id = base::job_id{"j" + std::to_string(m_next_job++)};
    const auto team = m_random.below(m_teams.size());
    spec.team = base::team_id{std::next(m_teams.begin(), static_cast<std::ptrdiff_t>(team))->first};
    spec.kind = static_cast<job_kind>(m_random.below(4));
    spec.command = std::string{name_of(spec.kind)} + std::to_string(m_random.below(2));
    spec.tasks = static_cast<std::uint32_t>(m_random.between(1, 4));
    spec.size = {base::millicores{static_cast<std::int64_t>(m_random.between(1, 30)) * 100},
                 base::bytes{static_cast<std::int64_t>(m_random.between(1, 30)) * 100},
                 accelerators{m_random.chance(0.1) ? 1 : 0}};
    spec.run_time = std::chrono::milliseconds{m_random.between(100, 3000)};
    if (m_random.chance(0.5)) {
        spec.deadline = m_now + std::chrono::seconds{m_random.between(1, 20)};
    }
    spec.repeatable = m_random.chance(0.75);
    spec.can_checkpoint = m_random.chance(0.7);
    spec.can_throttle = m_random.chance(0.7);
    return spec;
}

void random_cell::submit_random_jobs()
{
    while (m_random.chance(0.5)) {
        job_record job;
        job.spec = random_spec();
        job.always_fails = m_random.chance(0.03);
        m_jobs[job.spec.id.str()] = job;
        process(job_accepted{job.spec});
        if (m_random.chance(0.05)) {
            process(job_accepted{job.spec});
        }
    }
    if (m_random.chance(0.2) && !m_jobs.empty()) {
        const auto at =
            std::next(m_jobs.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_jobs.size())));
        at->second.cancelled = true;
        process(cancel_job{at->second.spec.id});
    }
}

void random_cell::inject_faults()
{
    for (auto& [id, worker] : m_workers) {
        if (m_random.chance(0.004)) {
            worker.disconnected_until = m_now + std::chrono::milliseconds{m_random.below(5000)};
        }
        if (m_random.chance(0.002)) {
            worker.down_until = m_now + std::chrono::milliseconds{1000 + m_random.below(4000)};
            worker.running.clear();
            worker.ended.clear();
            worker.seen_tasks.clear();
        }
        if (m_random.chance(0.003)) {
            process(worker_draining{worker.announcement.worker, m_random.chance(0.5)});
        }
    }
    if (m_random.chance(0.01)) {
        const std::string domain = "d" + std::to_string(m_random.below(3));
        for (auto& [id, worker] : m_workers) {
            if (worker.announcement.domain.str() == domain) {
                worker.disconnected_until = m_now + 4s;
            }
        }
    }
    if (m_random.chance(0.01)) {
        change_leader();
    }
}

void random_cell::step()
{
    m_now += 50ms;
    std::vector<event> due;
    std::erase_if(m_delayed_events, [&](const pending_event& open) {
        if (open.when <= m_now) {
            due.push_back(open.input);
            return true;
        }
        return false;
    });
    for (const event& input : due) {
        process(input);
    }
    run_workers();
    run_commits();
    run_commands();
    process(tick{});
    check_running_tasks();
}

void random_cell::check_running_tasks()
{
    std::map<std::string, resources> used_by_team;
    for (const auto& [id, worker] : m_workers) {
        resources used;
        for (const auto& [task, run] : worker.running) {
            used += run.size;
            used_by_team[m_jobs.at(run.job.str()).spec.team.str()] += run.size;
        }
        require(used.fits_in(worker.announcement.capacity), "capacity of worker " + id);
    }
    for (const auto& [team, used] : used_by_team) {
        const auto& limit = m_teams.at(team).limit_cpu;
        require(!limit || used.cpu.value() <= limit->value(), "upper limit of team " + team);
    }
}

bool random_cell::feasible(const job_spec& spec) const
{
    const std::int64_t concurrent_tasks = spec.kind == job_kind::gang ? spec.tasks : 1;
    std::int64_t places = 0;
    for (const auto& [id, worker] : m_workers) {
        resources left = worker.announcement.capacity;
        for (; spec.size.fits_in(left); left -= spec.size) {
            ++places;
        }
    }
    const auto& limit = m_teams.at(spec.team.str()).limit_cpu;
    return places >= concurrent_tasks &&
           (!limit || spec.size.cpu.value() * concurrent_tasks <= limit->value());
}

bool random_cell::all_final() const
{
    return std::all_of(m_jobs.begin(), m_jobs.end(), [this](const auto& entry) {
        return entry.second.final || !feasible(entry.second.spec);
    });
}

std::string random_cell::unfinished() const
{
    std::string text;
    for (const auto& [id, worker] : m_workers) {
        const auto view = m_scheduler->worker(worker.announcement.worker);
        text += " " + id + "[free_cpu=" +
                std::to_string(view ? view->capacity.cpu.value() - view->booked.cpu.value() : -1) +
                " tasks=" + std::to_string(view ? view->tasks : 0) +
                " runs=" + std::to_string(worker.running.size()) +
                (view && view->usable ? " usable]" : " closed]");
    }
    for (const auto& [id, job] : m_jobs) {
        if (!job.final) {
            const auto found = m_scheduler->explain(job.spec.id);
            text += " " + id + "(" + std::string{name_of(job.spec.kind)} + "," +
                    (found ? std::string{name_of(found->why)} + "," + found->detail : "not known") +
                    ")";
        }
    }
    return text;
}

void random_cell::run(base::duration faulty)
{
    for (const base::time_point end = m_now + faulty; m_now < end;) {
        submit_random_jobs();
        inject_faults();
        step();
    }
    m_inject_faults = false;
    for (auto& [id, worker] : m_workers) {
        worker.disconnected_until = worker.down_until = m_now;
        worker.faulty = false;
        process(worker_draining{worker.announcement.worker, false});
    }
    for (auto& [id, job] : m_jobs) {
        // Services run until they are cancelled, and the other jobs need their capacity.
        if (job.spec.kind == job_kind::service && !job.cancelled) {
            job.cancelled = true;
            process(cancel_job{job.spec.id});
        }
    }
    for (const base::time_point end = m_now + 120s;
         m_now < end && !(all_final() && m_scheduler->fleet().booked == resources{});) {
        step();
    }
    require(all_final(), "every job ends:" + unfinished());
    require(m_scheduler->fleet().booked == resources{}, "all capacity is free at the end");
}

namespace {

class random_run_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(random_run_test);
    CPPUNIT_TEST(step_random_faults_guarantees_hold);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against exceeding the capacity of a worker or the upper limit of a team, gangs that
    // start only in part, unrepeatable work that runs twice, jobs reported as not run that ran,
    // and jobs that block each other forever.
    void step_random_faults_guarantees_hold()
    {
        const auto& seeds = lovagebeam::test::seeds();
        for (std::uint64_t i = 0; i < seeds.runs_or(1000); ++i) {
            random_cell cell{seeds.first + i};
            cell.run(4s);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(random_run_test);

} // namespace

} // namespace lovagebeam::placement::test
