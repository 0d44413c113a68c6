#include "cost.h"

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/placement/scheduler.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <malloc.h>
#include <string>
#include <vector>

namespace lovagebeam::bench {

namespace {

using namespace std::chrono_literals;
using namespace placement;

/// Returns the number of bytes that this process has allocated.
double allocated_bytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

class cost_benchmark {
public:
    cost_benchmark(std::uint64_t seed, std::uint32_t workers, std::uint32_t tasks)
        : m_random{seed}, m_workers{workers}, m_tasks{tasks},
          m_scheduler{scheduler_builder{}.build(m_now).value()}
    {
    }

    void run()
    {
        const double before = allocated_bytes();
        for (std::uint32_t i = 0; i < m_workers; ++i) {
            deliver(make_worker(i));
        }
        const double with_workers = allocated_bytes();
        while (m_running.size() < m_tasks) {
            submit();
        }
        const double with_tasks = allocated_bytes();
        // Keep jobs waiting, so that the scheduler has to choose one whenever a task ends.
        fill_queue();
        m_step_us.clear();
        m_starts = 0;
        const std::clock_t cpu = std::clock();
        const auto started = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - started < 3s) {
            replace_one_task();
        }
        // Processor time, since other processes may use the same core.
        m_cpu_seconds = static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC;
        report((with_workers - before) / m_workers, (with_tasks - with_workers) / m_tasks);
    }

private:
    worker_seen make_worker(std::uint32_t i) const
    {
        worker_seen worker;
        worker.worker = base::worker_id{"worker-" + std::to_string(i)};
        worker.domain = base::failure_domain{"domain-" + std::to_string(i % 9)};
        worker.rack = rack_id{"rack-" + std::to_string(i / 6)};
        worker.capacity = {base::millicores{64000}, base::bytes{std::int64_t{256} << 30},
                           accelerators{1}};
        return worker;
    }

    void deliver(const event& input)
    {
        const auto before = std::chrono::steady_clock::now();
        decisions result = m_scheduler.step(m_now, input);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - before;
        m_step_us.push_back(took.count() * 1e6);
        for (const worker_command& command : result.commands) {
            if (command.kind == command_kind::start) {
                m_running.push_back(command.task);
                ++m_starts;
            }
        }
        for (const placement_decision& placed : result.placements) {
            deliver(decision_committed{placed.id});
        }
    }

    void submit()
    {
        job_spec spec;
        spec.id = base::job_id{"job-" + std::to_string(m_next++)};
        spec.team = base::team_id{"team-" + std::to_string(m_random.below(48))};
        spec.command = "command-" + std::to_string(m_random.below(4));
        spec.tasks = 1;
        spec.kind = m_random.chance(0.01) ? job_kind::service : job_kind::batch;
        // Average size at which the given number of tasks fills the fleet to 80%.
        const auto cpu = static_cast<std::int64_t>(64000.0 * m_workers / m_tasks);
        spec.size = {
            base::millicores{cpu * static_cast<std::int64_t>(m_random.between(40, 120)) / 100},
            base::bytes{std::int64_t{8} << 30}, accelerators{0}};
        spec.run_time = std::chrono::seconds{m_random.between(1, 100)};
        spec.deadline = m_now + std::chrono::seconds{m_random.between(100, 1000)};
        deliver(job_accepted{spec});
    }

    void fill_queue()
    {
        while (m_scheduler.fleet().waiting < 2000) {
            submit();
        }
    }

    void replace_one_task()
    {
        m_now += 13us;
        const std::size_t at = m_random.below(m_running.size());
        std::swap(m_running[at], m_running.back());
        const base::task_id ended = m_running.back();
        m_running.pop_back();
        task_ended report;
        report.task = ended;
        report.run_time = 10s;
        deliver(report);
        submit();
        if (++m_rounds % 7700 == 0) {
            deliver(tick{});
        }
    }

    void report(double worker_bytes, double task_bytes)
    {
        std::sort(m_step_us.begin(), m_step_us.end());
        const auto at = [this](double part) {
            return m_step_us[static_cast<std::size_t>(part * (m_step_us.size() - 1))];
        };
        std::printf("cost workers=%u tasks=%u running=%zu p50_us=%.1f p99_us=%.1f p999_us=%.1f "
                    "max_us=%.0f starts_per_s=%.0f bytes_per_worker=%.0f bytes_per_task=%.0f\n",
                    m_workers, m_tasks, m_running.size(), at(0.5), at(0.99), at(0.999),
                    m_step_us.back(), m_starts / m_cpu_seconds, worker_bytes, task_bytes);
    }

    base::random_source m_random;
    std::uint32_t m_workers;
    std::uint32_t m_tasks;
    base::time_point m_now{std::chrono::hours{1}};
    scheduler m_scheduler;
    std::deque<base::task_id> m_running;
    std::vector<double> m_step_us;
    std::uint64_t m_next = 0;
    std::uint64_t m_rounds = 0;
    double m_starts = 0;
    double m_cpu_seconds = 0;
};

} // namespace

void measure_scheduler_cost(std::uint64_t seed)
{
    for (const auto& [workers, tasks] :
         std::initializer_list<std::pair<std::uint32_t, std::uint32_t>>{
             {50, 175}, {500, 1750}, {2000, 7000}, {11000, 38000}}) {
        cost_benchmark{seed, workers, tasks}.run();
    }
}

} // namespace lovagebeam::bench
