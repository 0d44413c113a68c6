#include "lovagebeam/base/random_source.h"
#include "lovagebeam/jobs/coordinator.h"

#include <absl/strings/str_cat.h>
#include <boost/program_options.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <string>

// Measures the time that the coordinator and the ledger take for each task start, with simulated
// workers that never fail. The cluster runs on virtual time; only calls of the two classes are
// timed.

namespace {

using namespace lovagebeam;
using namespace lovagebeam::jobs;
using namespace std::chrono_literals;
namespace po = boost::program_options;

struct options {
    std::uint32_t workers = 350;
    double urgent_per_second = 125;
    double batch_per_second = 7;
    double gangs_per_second = 4.3;
    std::uint32_t gang_width = 20;
    double allowed_fraction = 0.5;
    std::uint32_t at_limit = 0;
    std::uint32_t without_worker = 0;
    int seconds = 10;
    std::uint64_t seed = 1;
};

class cluster_simulation {
public:
    explicit cluster_simulation(const options& chosen) : m_options{chosen}, m_random{chosen.seed}
    {
        m_catalog->version = 1;
        m_catalog->pools.emplace("pool", false);
        add_queue("urgent", 0, {8ms, 110us, 1'500ms});
        add_queue("gangs", 1, {520ms, 7'400us, 1'500ms});
        add_queue("batch", 2, {82ms, 1'200us, 1'500ms});
        for (std::uint32_t i = 0; i < chosen.workers; ++i) {
            add_worker(i);
        }
        m_leader = std::make_unique<coordinator>(coordinator_settings{}, m_ledger, fencing_token{1},
                                                 m_now, wall());
        m_leader->on_catalog(m_catalog);
        run_for(1s);
    }

    void run()
    {
        submit_blocked();
        m_measured_time = {};
        m_planning_time = {};
        m_starts = 0;
        m_is_loaded = true;
        run_for(std::chrono::seconds{m_options.seconds});
        m_is_loaded = false;
        const double micros = std::chrono::duration<double, std::micro>{m_measured_time}.count();
        std::cout << "workers=" << m_options.workers << " starts=" << m_starts
                  << " starts_per_second=" << m_starts / m_options.seconds
                  << " microseconds_per_start=" << micros / static_cast<double>(m_starts)
                  << " core_share=" << micros / 1e6 / m_options.seconds << " planning_core_share="
                  << std::chrono::duration<double>{m_planning_time}.count() / m_options.seconds
                  << " gangs_started=" << m_gangs_started << " of " << m_gangs
                  << " waiting_steps=" << m_leader->ready_step_count() << '\n';
    }

private:
    struct simulated_worker {
        std::map<run_key, running_row> running;
        std::vector<finished_row> ends;
        std::uint64_t last_end = 0;
        std::optional<hold_order> open_hold;
        base::time_point hold_sent;
    };

    void add_queue(const std::string& name, std::uint32_t priority, advice_policy advice)
    {
        queue_settings queue;
        queue.name = name;
        queue.pool = "pool";
        queue.priority = priority;
        queue.advice = advice;
        m_catalog->queues.push_back(queue);
    }

    void add_worker(std::uint32_t number)
    {
        worker_info info;
        info.id = base::worker_id{absl::StrCat("i-", number)};
        info.port = 1;
        info.pool = "pool";
        info.capacity = {64'000, 262'144, 0};
        info.rack = absl::StrCat("r", number / 20);
        proto::jobs::Batch batch;
        *batch.add_operations()->mutable_put_worker()->mutable_worker() = to_proto(info);
        static_cast<void>(m_ledger.apply(batch.SerializeAsString()));
        m_workers[info.id];
    }

    [[nodiscard]] base::wall_time wall() const
    {
        return base::wall_time{std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch())};
    }

    template <class Call>
    void measure(Call call)
    {
        const auto begin = std::chrono::steady_clock::now();
        call();
        m_measured_time += std::chrono::steady_clock::now() - begin;
    }

    void run_after(base::duration delay, std::function<void()> action)
    {
        m_actions.emplace(std::pair{m_now + delay, ++m_last_action}, std::move(action));
    }

    void commit(std::uint64_t id, const proto::jobs::Batch& batch)
    {
        run_after(12ms, [this, id, batch] {
            const auto bytes = batch.SerializeAsString();
            measure([&] {
                static_cast<void>(m_ledger.apply(bytes));
                m_leader->on_applied(m_now, batch);
                m_leader->on_batch_committed(id);
            });
            execute_output();
        });
    }

    void execute_output()
    {
        coordinator_output out;
        const auto before = m_measured_time;
        measure([&] { out = m_leader->take(m_now, wall()); });
        m_leader->on_planning_time(m_now, m_measured_time - before);
        m_planning_time += m_measured_time - before;
        for (const auto& [id, batch] : out.batches) {
            commit(id, batch);
        }
        for (const auto& order : out.starts) {
            start(order);
        }
        for (const auto& order : out.holds) {
            auto& to = m_workers.at(order.to.worker);
            to.hold_sent = m_now;
            to.open_hold = order;
            run_after(order.wait + 2ms, [this, id = order.to.worker] { answer_hold(id); });
        }
        for (const auto& order : out.advice) {
            run_after(order.expected, [this, order] {
                std::vector<advice_row> rows;
                for (const auto& worker : order.workers) {
                    if (is_allowed(order.step, worker)) {
                        rows.push_back({worker, "ticket"});
                    }
                }
                measure([&] { m_leader->on_advice(m_now, order.id, rows); });
                execute_output();
            });
        }
    }

    // The service gives the same answer about a step and a worker each time.
    [[nodiscard]] bool is_allowed(const step_key& step, const base::worker_id& worker) const
    {
        const auto hash =
            std::hash<std::string>{}(absl::StrCat(format_job_id(step.job), worker.str()));
        return static_cast<double>(hash % 1'000) < m_options.allowed_fraction * 1'000;
    }

    void start(const start_order& order)
    {
        ++m_starts;
        const auto& started = m_ledger.find(order.run.task.job)->spec.steps[order.run.task.step];
        m_gangs_started += started.gang && order.run.task.index == 0 ? 1 : 0;
        const auto& step = m_ledger.find(order.run.task.job)->spec.steps[order.run.task.step];
        run_after(2ms, [this, order, estimate = step.estimate] {
            m_workers.at(order.to.worker).running[order.run] = {order.run, "", 0, std::nullopt};
            measure([&] {
                m_leader->on_start_answer(m_now, order.run, order.to.worker,
                                          start_outcome::started);
            });
            run_after(estimate, [this, order] {
                auto& worker = m_workers.at(order.to.worker);
                worker.running.erase(order.run);
                worker.ends.push_back({++worker.last_end, order.run, end_kind::done, ""});
                answer_hold(order.to.worker);
            });
        });
    }

    void answer_hold(const base::worker_id& id)
    {
        auto& worker = m_workers.at(id);
        if (!worker.open_hold) {
            return;
        }
        const auto order = *std::exchange(worker.open_hold, std::nullopt);
        std::erase_if(worker.ends, [&](const auto& row) { return row.number <= order.cursor; });
        hold_answer answer;
        answer.clock = std::chrono::duration_cast<worker_time>(m_now.time_since_epoch());
        for (auto& [run, row] : worker.running) {
            row.percent = (row.percent + 1) % 100;
            answer.running.push_back(row);
        }
        answer.finished = worker.ends;
        measure([&] {
            m_leader->on_hold_done(m_now, worker.hold_sent, order, hold_outcome::answered, answer);
        });
        execute_output();
    }

    /// Submits steps that can't be placed while the simulation lasts.
    void submit_blocked()
    {
        auto limited = std::make_shared<catalog>(*m_catalog);
        ++limited->version;
        limited->accounts["limited"] = {"limited", {}, 1, {8'000, 0, 0}};
        m_leader->on_catalog(limited);
        for (std::uint32_t count = 0; count < m_options.at_limit; ++count) {
            auto job = make_job("urgent", 0, 1, 9'000, 640ms, false);
            job.account = "limited";
            submit(job);
        }
        for (std::uint32_t count = 0; count < m_options.without_worker; ++count) {
            auto job = make_job("urgent", 0, 1, 9'000, 640ms, false);
            job.steps[0].required_label = "missing";
            submit(job);
        }
        run_for(1s);
    }

    job_spec make_job(const char* queue, std::uint32_t priority, std::uint32_t tasks,
                      std::int64_t millicores, milliseconds time, bool gang)
    {
        job_spec job;
        job.id = job_number{m_random.next()};
        job.queue = queue;
        job.account = "account";
        job.pool = "pool";
        job.priority = priority;
        job.max_attempts = 4;
        step_spec step;
        step.tasks = tasks;
        step.size = {millicores, 4'000, 0};
        step.estimate = time;
        step.gang = gang;
        job.steps.push_back(step);
        return job;
    }

    void submit(const job_spec& job)
    {
        proto::jobs::Batch batch;
        *batch.add_operations()->mutable_accept()->mutable_spec() = to_proto(job);
        measure([&] { m_leader->on_submission(wall(), job); });
        commit(0, batch);
    }

    void submit_load(double seconds)
    {
        if (m_random.chance(m_options.urgent_per_second * seconds)) {
            submit(make_job("urgent", 0, 3, 9'900, 640ms, false));
        }
        if (m_random.chance(m_options.gangs_per_second * seconds)) {
            ++m_gangs;
            submit(make_job("gangs", 1, m_options.gang_width, 18'000, 5'000ms, true));
        }
        if (m_random.chance(m_options.batch_per_second * seconds)) {
            submit(make_job("batch", 2, 37, 6'900, 3'400ms, false));
        }
    }

    void run_for(base::duration time)
    {
        constexpr auto step = 1ms;
        const auto until = m_now + time;
        while (m_now < until) {
            m_now += step;
            if (m_is_loaded) {
                submit_load(std::chrono::duration<double>{step}.count());
            }
            while (!m_actions.empty() && m_actions.begin()->first.first <= m_now) {
                const auto next = std::move(m_actions.begin()->second);
                m_actions.erase(m_actions.begin());
                next();
            }
            if (m_now.time_since_epoch() % 10ms == base::duration{0}) {
                for (int agent = 0; agent < 44; ++agent) {
                    m_leader->on_agent_contact(m_now, base::node_id{absl::StrCat("e", agent)});
                }
                measure([&] { m_leader->tick(m_now, wall()); });
                execute_output();
            }
        }
    }

    options m_options;
    base::random_source m_random;
    std::shared_ptr<catalog> m_catalog = std::make_shared<catalog>();
    ledger m_ledger;
    std::unique_ptr<coordinator> m_leader;
    std::map<base::worker_id, simulated_worker> m_workers;
    std::map<std::pair<base::time_point, std::uint64_t>, std::function<void()>> m_actions;
    std::uint64_t m_last_action = 0;
    base::time_point m_now{std::chrono::hours{1}};
    base::duration m_measured_time{};
    base::duration m_planning_time{}; ///< of it, in calls of `take`
    std::uint64_t m_starts = 0;
    std::uint64_t m_gangs = 0;
    std::uint64_t m_gangs_started = 0;
    bool m_is_loaded = false;
};

} // namespace

int main(int argc, char** argv)
{
    options chosen;
    po::options_description description{"Options"};
    description.add_options()("help", "show this text")(
        "workers", po::value(&chosen.workers)->default_value(chosen.workers))(
        "urgent", po::value(&chosen.urgent_per_second)->default_value(chosen.urgent_per_second),
        "urgent jobs per second")(
        "batch", po::value(&chosen.batch_per_second)->default_value(chosen.batch_per_second),
        "batch jobs per second")(
        "gangs", po::value(&chosen.gangs_per_second)->default_value(chosen.gangs_per_second),
        "gang jobs per second")("gang-width",
                                po::value(&chosen.gang_width)->default_value(chosen.gang_width),
                                "tasks of a gang")(
        "allowed", po::value(&chosen.allowed_fraction)->default_value(chosen.allowed_fraction),
        "fraction of the workers that advice allows")(
        "at-limit", po::value(&chosen.at_limit)->default_value(chosen.at_limit),
        "waiting jobs that the limit of their account doesn't admit")(
        "without-worker", po::value(&chosen.without_worker)->default_value(chosen.without_worker),
        "waiting jobs that no worker can run")(
        "seconds", po::value(&chosen.seconds)->default_value(chosen.seconds))(
        "seed", po::value(&chosen.seed)->default_value(chosen.seed));
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
        std::cout << description;
        return 0;
    }
    po::notify(values);
    cluster_simulation{chosen}.run();
    return 0;
}
