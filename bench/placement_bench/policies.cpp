#include "policies.h"

#include <algorithm>
#include <array>
#include <list>
#include <map>
#include <variant>

namespace lovagebeam::bench {

namespace {

using namespace placement;

class scheduler_policy : public scheduling_policy {
public:
    scheduler_policy(const workload& work, const scheduler_settings& settings, time_point now,
                     std::string name)
        : m_scheduler{scheduler_builder{}.settings(settings).build(now).value()}, m_name{std::move(
                                                                                      name)}
    {
        for (const bench_team& team : work.teams) {
            m_scheduler.step(now, team_changed{team.id, team.settings});
        }
    }

    decisions step(time_point now, const event& input) override
    {
        return m_scheduler.step(now, input);
    }
    [[nodiscard]] std::string name() const override { return m_name; }

private:
    scheduler m_scheduler;
    std::string m_name;
};

/// A placement pass ends after this number of jobs that fit on no worker. Scanning the whole queue
/// at each event would take most of the run time.
constexpr int max_unplaced_per_pass = 300;

/// Base class of the baselines. It uses the declared sizes. After a task ran out of memory, the
/// memory of its job is doubled, since the job would otherwise never end.
class baseline : public scheduling_policy {
public:
    explicit baseline(const workload& work)
    {
        for (const bench_team& team : work.teams) {
            m_limit[team.id.str()] = team.settings.limit_cpu.value_or(base::millicores{1LL << 60});
        }
    }

    decisions step(time_point now, const event& input) override
    {
        m_now = now;
        m_out = {};
        std::visit([this](const auto& e) { handle(e); }, input);
        return std::move(m_out);
    }

protected:
    struct worker {
        base::worker_id id;
        resources capacity;
        resources booked;
        bool present = false;
    };

    [[nodiscard]] virtual worker* choose(std::vector<worker>& workers, const resources& size) = 0;
    [[nodiscard]] virtual int priority(job_kind kind) const = 0;

private:
    struct job {
        job_spec spec;
        resources size;
        std::vector<std::uint32_t> pending;
        std::uint32_t left = 0;
    };
    struct task {
        std::string job;
        std::uint32_t index = 0;
        std::size_t worker = 0;
        resources size;
        time_point lease_end{};
    };

    template <class Other>
    void handle(const Other&)
    {
    }
    void handle(const worker_seen& seen)
    {
        auto at = std::find_if(m_workers.begin(), m_workers.end(),
                               [&](const worker& w) { return w.id == seen.worker; });
        if (at == m_workers.end()) {
            m_workers.push_back({seen.worker, seen.capacity, {}, false});
            at = m_workers.end() - 1;
        }
        m_has_new_room = m_has_new_room || !at->present;
        at->present = true;
        for (const task_report& report : seen.running) {
            const auto placed = m_tasks.find(report.task.str());
            if (placed != m_tasks.end()) {
                placed->second.lease_end = m_now + std::chrono::seconds{10};
            }
        }
    }
    void handle(const worker_lost& lost)
    {
        for (worker& w : m_workers) {
            w.present = w.present && w.id != lost.worker;
        }
    }
    void handle(const job_accepted& accepted)
    {
        job added{accepted.spec, accepted.spec.size, {}, accepted.spec.tasks};
        for (std::uint32_t i = 0; i < accepted.spec.tasks; ++i) {
            added.pending.push_back(i);
        }
        m_jobs[accepted.spec.id.str()] = std::move(added);
        enqueue(accepted.spec.id.str());
        place_all();
    }
    void handle(const cancel_job& cancelled)
    {
        const auto at = m_jobs.find(cancelled.job.str());
        if (at != m_jobs.end()) {
            at->second.pending.clear();
        }
    }
    void handle(const decision_committed& committed)
    {
        const auto proposed = m_proposed.find(committed.decision.value());
        if (proposed == m_proposed.end()) {
            return;
        }
        for (const placed_task& placed : proposed->second) {
            worker_command command;
            command.task = placed.task;
            command.job = placed.job;
            command.index = placed.index;
            command.worker = placed.worker;
            command.size = placed.size;
            m_out.commands.push_back(command);
        }
        m_proposed.erase(proposed);
    }
    void handle(const task_ended& ended)
    {
        const auto at = m_tasks.find(ended.task.str());
        if (at == m_tasks.end()) {
            return;
        }
        job& of = m_jobs.at(at->second.job);
        if (ended.outcome == task_outcome::failed) {
            of.size.memory += of.size.memory;
            of.size.memory = base::bytes{std::min(of.size.memory.value(), std::int64_t{255} << 30)};
        }
        release(at, ended.outcome != task_outcome::completed);
        place_all();
    }
    void handle(const tick&)
    {
        for (auto at = m_tasks.begin(); at != m_tasks.end();) {
            const auto next = std::next(at);
            if (m_now > at->second.lease_end) {
                release(at, m_jobs.at(at->second.job).spec.repeatable);
            }
            at = next;
        }
        if (m_has_new_room) {
            m_has_new_room = false;
            place_all();
        }
    }

    void enqueue(const std::string& id)
    {
        const int rank = priority(m_jobs.at(id).spec.kind);
        m_queues[static_cast<std::size_t>(rank)].push_back(id);
    }

    void release(std::map<std::string, task>::iterator at, bool again)
    {
        const task ended = at->second;
        m_tasks.erase(at);
        m_workers[ended.worker].booked -= ended.size;
        job& of = m_jobs.at(ended.job);
        m_used[of.spec.team.str()] -= ended.size.cpu.value();
        m_has_new_room = true;
        if (again) {
            const bool queued = !of.pending.empty();
            of.pending.push_back(ended.index);
            if (!queued) {
                enqueue(ended.job);
            }
        }
    }

    bool place(const std::string& id)
    {
        m_is_team_limited = false;
        job& of = m_jobs.at(id);
        const std::size_t together = of.spec.kind == job_kind::gang ? of.pending.size() : 1;
        const std::int64_t cpu = of.size.cpu.value() * static_cast<std::int64_t>(together);
        if (m_used[of.spec.team.str()] + cpu > m_limit[of.spec.team.str()].value()) {
            m_is_team_limited = true;
            return false;
        }
        std::vector<worker*> chosen;
        while (chosen.size() < together) {
            worker* at = choose(m_workers, of.size);
            if (at == nullptr) {
                for (worker* reserved : chosen) {
                    reserved->booked -= of.size;
                }
                return false;
            }
            at->booked += of.size;
            chosen.push_back(at);
        }
        placement_decision decision{decision_id{m_next++}, {}, reason::placed_best_fit};
        for (worker* at : chosen) {
            const std::uint32_t index = of.pending.back();
            of.pending.pop_back();
            const std::string name =
                id + "." + std::to_string(index) + "." + std::to_string(m_next++);
            m_tasks[name] = {id, index, static_cast<std::size_t>(at - m_workers.data()), of.size,
                             m_now + std::chrono::seconds{11}};
            decision.tasks.push_back({base::task_id{name}, of.spec.id, index, at->id, of.size});
        }
        m_used[of.spec.team.str()] += cpu;
        m_proposed[decision.id.value()] = decision.tasks;
        m_out.placements.push_back(std::move(decision));
        return true;
    }

    void place_all()
    {
        int failed = 0;
        for (auto& queue : m_queues) {
            for (auto at = queue.begin(); at != queue.end() && failed < max_unplaced_per_pass;) {
                bool placed = true;
                while (placed && !m_jobs.at(*at).pending.empty()) {
                    placed = place(*at);
                }
                failed = placed || m_is_team_limited ? failed : failed + 1;
                at = m_jobs.at(*at).pending.empty() ? queue.erase(at) : std::next(at);
            }
        }
    }

    time_point m_now{};
    decisions m_out;
    std::vector<worker> m_workers;
    std::map<std::string, job> m_jobs;
    std::map<std::string, task> m_tasks;
    std::map<std::string, std::int64_t> m_used;
    std::map<std::string, base::millicores> m_limit;
    std::map<std::uint64_t, std::vector<placed_task>> m_proposed;
    std::array<std::list<std::string>, 4> m_queues; ///< by priority
    std::uint64_t m_next = 1;
    bool m_has_new_room = false;
    bool m_is_team_limited = false; ///< place() failed because of the team's limit
};

class first_fit : public baseline {
public:
    using baseline::baseline;
    [[nodiscard]] std::string name() const override { return "first_fit"; }

protected:
    worker* choose(std::vector<worker>& workers, const resources& size) override
    {
        for (worker& at : workers) {
            if (at.present && (at.booked + size).fits_in(at.capacity)) {
                return &at;
            }
        }
        return nullptr;
    }
    [[nodiscard]] int priority(job_kind) const override { return 0; }
};

class best_fit : public baseline {
public:
    using baseline::baseline;
    [[nodiscard]] std::string name() const override { return "best_fit"; }

protected:
    worker* choose(std::vector<worker>& workers, const resources& size) override
    {
        worker* best = nullptr;
        for (worker& at : workers) {
            if (at.present && (at.booked + size).fits_in(at.capacity) &&
                (best == nullptr || at.booked.cpu.value() > best->booked.cpu.value())) {
                best = &at;
            }
        }
        return best;
    }
    [[nodiscard]] int priority(job_kind kind) const override
    {
        switch (kind) {
        case job_kind::urgent:
            return 0;
        case job_kind::service:
            return 1;
        case job_kind::gang:
            return 2;
        default:
            return 3;
        }
    }
};

} // namespace

std::unique_ptr<scheduling_policy> make_scheduler(const workload& work,
                                                  const scheduler_settings& settings,
                                                  time_point now, std::string name)
{
    return std::make_unique<scheduler_policy>(work, settings, now, std::move(name));
}

std::unique_ptr<scheduling_policy> make_first_fit(const workload& work)
{
    return std::make_unique<first_fit>(work);
}

std::unique_ptr<scheduling_policy> make_best_fit(const workload& work)
{
    return std::make_unique<best_fit>(work);
}

} // namespace lovagebeam::bench
