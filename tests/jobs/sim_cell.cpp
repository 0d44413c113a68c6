#include "sim_cell.h"

#include "text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::jobs::test {
namespace {

constexpr auto hold_patience = 600ms;
constexpr auto order_patience = 700ms;
constexpr auto gang_time = 3s;
constexpr auto stop_time = 200ms;
constexpr std::int64_t worker_millicores = 64'000;

} // namespace

job_spec simple_job(std::uint64_t id, std::uint32_t tasks, std::int64_t millicores)
{
    job_spec job;
    job.id = job_number{id};
    job.queue = "queue";
    job.account = "account";
    job.pool = "pool";
    job.payload = "payload";
    job.priority = 1;
    job.max_attempts = 4;
    job.slack_factor = 2;
    job.target_latency = 1s;
    step_spec step;
    step.tasks = tasks;
    step.size = {millicores, 1'000, 0};
    step.estimate = 500ms;
    job.steps.push_back(step);
    return job;
}

worker_time sim_worker::clock(base::time_point now) const
{
    const auto passed = std::chrono::duration<double, std::milli>{now - started} * clock_speed;
    return worker_time{static_cast<std::int64_t>(passed.count())};
}

std::uint32_t sim_worker::run::percent(base::time_point now) const
{
    if (hangs || waits || ends <= began) {
        return 0;
    }
    const auto part =
        std::chrono::duration<double>{now - began} / std::chrono::duration<double>{ends - began};
    return static_cast<std::uint32_t>(std::min(99.0, part * 100));
}

sim_cell::sim_cell(std::uint64_t seed, sim_settings chosen)
    : now{std::chrono::hours{1}}, random{seed}, settings{chosen},
      config{std::make_shared<catalog>()}, m_begin{now}, m_next_tick{now}
{
    config->version = 1;
    config->pools.emplace("pool", false);
    queue_settings queue;
    queue.name = "queue";
    queue.pool = "pool";
    queue.max_attempts = 4;
    if (settings.with_advice) {
        queue.advice = advice_policy{20ms, 200us, 1'500ms};
    }
    config->queues.push_back(queue);
    config->accounts.emplace("account", account_settings{"account", {"key"}, 1, {}});
    for (std::uint32_t i = 0; i < settings.workers; ++i) {
        add_worker(absl::StrCat("w", i));
    }
    lead();
}

base::wall_time sim_cell::wall() const
{
    return base::wall_time{std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) +
                           std::chrono::hours{400'000}};
}

base::duration sim_cell::delay()
{
    return std::chrono::microseconds{random.between(300, 3'000)};
}

void sim_cell::at(base::time_point when, action what)
{
    m_actions.emplace(due_action{when, ++m_last_action}, std::move(what));
}

void sim_cell::add_worker(const std::string& id)
{
    sim_worker worker;
    worker.info.id = base::worker_id{id};
    worker.info.address = "10.0.0.1";
    worker.info.port = 1;
    worker.info.pool = "pool";
    worker.info.rack = absl::StrCat("r", random.below(3));
    worker.info.labels = {"a", worker.info.rack};
    worker.info.capacity = {worker_millicores, 262'144, 0};
    worker.info.born = wall();
    worker.started = now;
    worker.clock_speed = 0.98 + 0.04 * random.unit();
    m_lives.insert(worker.info.id);
    const auto key = worker.info.id;
    workers[key] = worker;
    proto::jobs::Batch batch;
    *batch.add_operations()->mutable_put_worker()->mutable_worker() = to_proto(worker.info);
    commit(0, batch);
}

void sim_cell::restart_worker(const base::worker_id& id, bool same_id)
{
    auto found = workers.find(id);
    if (found == workers.end() || !found->second.is_up) {
        return;
    }
    found->second.is_up = false;
    found->second.runs.clear();
    at(now + std::chrono::milliseconds{random.between(50, 1'500)},
       [this, id, same_id] { begin_next_life(id, same_id); });
}

void sim_cell::begin_next_life(const base::worker_id& id, bool same_id)
{
    const auto found = workers.find(id);
    sim_worker fresh;
    fresh.info = found->second.info;
    fresh.info.born = wall();
    fresh.started = now;
    fresh.clock_speed = found->second.clock_speed;
    workers.erase(found);
    if (!same_id) {
        fresh.info.id = base::worker_id{absl::StrCat("w", m_lives.size())};
        m_lives.insert(fresh.info.id);
    }
    const auto key = fresh.info.id;
    workers[key] = fresh;
    at(now + std::chrono::milliseconds{random.between(10, 1'500)}, [this, info = fresh.info] {
        proto::jobs::Batch batch;
        *batch.add_operations()->mutable_put_worker()->mutable_worker() = to_proto(info);
        commit(0, batch);
    });
}

void sim_cell::lead()
{
    ++m_generation;
    ++m_term;
    coordinator_settings chosen;
    leader = std::make_unique<coordinator>(chosen, records, fencing_token{m_term}, now, wall());
    leader->on_catalog(config);
    for (int agent = 0; agent < 4; ++agent) {
        leader->on_agent(now, base::node_id{absl::StrCat("e", agent)});
    }
}

void sim_cell::change_leader()
{
    leader.reset();
    ++m_generation;
    at(now + std::chrono::milliseconds{random.between(300, 1'200)}, [this] { lead(); });
}

void sim_cell::submit(const job_spec& spec)
{
    if (leader) {
        leader->on_submission(now, spec);
    }
    proto::jobs::Batch batch;
    auto& operation = *batch.add_operations()->mutable_accept();
    *operation.mutable_spec() = to_proto(spec);
    operation.set_accepted_ms(wall().time_since_epoch().count());
    commit(0, batch);
}

void sim_cell::cancel(job_number id)
{
    proto::jobs::Batch batch;
    batch.add_operations()->mutable_cancel()->set_job(id.value());
    at(now + settings.commit_time, [this, id] { m_cancelled.emplace(id, now); });
    commit(0, batch);
}

void sim_cell::commit(std::uint64_t id, const proto::jobs::Batch& batch)
{
    auto stamped = batch;
    stamped.set_time_ms(wall().time_since_epoch().count());
    at(now + settings.commit_time, [this, id, stamped, generation = m_generation] {
        // A batch of a former leader may be committed until the next one leads.
        if (id != 0 && generation != m_generation && (leader || random.chance(0.5))) {
            return;
        }
        static_cast<void>(records.apply(stamped.SerializeAsString()));
        if (leader) {
            leader->on_applied(now, stamped);
            if (id != 0 && generation == m_generation) {
                leader->on_batch_committed(id);
            }
        }
    });
}

void sim_cell::collect()
{
    if (!leader) {
        return;
    }
    auto out = leader->take(now, wall());
    for (const auto& [id, batch] : out.batches) {
        commit(id, batch);
    }
    for (const auto& order : out.starts) {
        send(order);
    }
    for (const auto& order : out.stops) {
        send(order);
    }
    for (const auto& order : out.holds) {
        send(order);
    }
    for (const auto& order : out.advice) {
        send(order);
    }
}

void sim_cell::deliver(const worker_address& to, const std::function<void(sim_worker*)>& carry_out,
                       const std::function<void(bool)>& answer)
{
    if (random.chance(settings.lose_request)) {
        at(now + order_patience, [answer] { answer(false); });
        return;
    }
    const bool is_late = random.chance(settings.apply_late);
    const bool is_lost = is_late || random.chance(settings.lose_answer);
    at(now + delay(), [this, to, carry_out, answer, is_lost, is_late] {
        const auto found = workers.find(to.worker);
        const bool is_reached =
            found != workers.end() && found->second.is_up && !found->second.is_cut;
        if (is_late && is_reached) {
            // The worker's process keeps the order, and loses it when it ends.
            at(now + std::chrono::milliseconds{random.between(2'000, 12'000)},
               [this, to, carry_out, born = found->second.info.born] {
                   const auto later = workers.find(to.worker);
                   if (later != workers.end() && later->second.info.born == born) {
                       carry_out(&later->second);
                   }
               });
            return;
        }
        if (is_reached) {
            carry_out(&found->second);
        }
        else if (found == workers.end()) {
            carry_out(nullptr);
        }
        if (!is_lost && (is_reached || found == workers.end())) {
            at(now + delay(), [answer] { answer(true); });
        }
    });
    if (is_lost) {
        at(now + order_patience, [answer] { answer(false); });
        return;
    }
    const auto found = workers.find(to.worker);
    if (found != workers.end() && (!found->second.is_up || found->second.is_cut)) {
        at(now + order_patience, [answer] { answer(false); });
    }
}

void sim_cell::send(const start_order& order)
{
    auto outcome = std::make_shared<start_outcome>(start_outcome::unknown);
    auto is_answered = std::make_shared<bool>(false);
    const auto finish = [this, order, outcome, is_answered, generation = m_generation](bool whole) {
        if (std::exchange(*is_answered, true) || !leader || generation != m_generation) {
            return;
        }
        leader->on_start_answer(now, order.run, order.to.worker,
                                whole ? *outcome : start_outcome::unknown);
        collect();
    };
    deliver(
        order.to,
        [this, order, outcome](sim_worker* worker) {
            *outcome = worker == nullptr ? start_outcome::gone : carry_out(*worker, order);
        },
        finish);
}

void sim_cell::send(const stop_order& order)
{
    auto is_done = std::make_shared<bool>(false);
    deliver(
        order.to,
        [this, order, is_done](sim_worker* worker) {
            if (worker == nullptr || order.token.value() < worker->fence) {
                return;
            }
            advance(*worker);
            worker->fence = order.token.value();
            *is_done = true;
            auto& barred = worker->barred[order.run.task];
            barred = std::max(barred, order.run.attempt);
            const auto found = worker->runs.find(order.run);
            if (found != worker->runs.end() && !found->second.stops) {
                found->second.stops = now + stop_time;
            }
        },
        [this, order, is_done, generation = m_generation](bool whole) {
            if (whole && *is_done && leader && generation == m_generation) {
                leader->on_stop_done(now, order.run, order.to.worker);
                collect();
            }
        });
}

void sim_cell::send(const hold_order& order)
{
    at(now + delay(), [this, order, sent = now, generation = m_generation] {
        const auto found = workers.find(order.to.worker);
        const auto life = found == workers.end() ? order.to.born : found->second.info.born;
        answer_hold({order, life, sent, now + order.wait, generation});
    });
}

// Waits at the worker for an end, as long as the order allows. The call ends unanswered with the
// life of the worker that it reached.
void sim_cell::answer_hold(const waiting_hold& hold)
{
    const auto& order = hold.order;
    const auto reply = [this, hold](hold_outcome outcome, const hold_answer& answer) {
        at(now + delay(), [=, this] {
            if (leader && hold.generation == m_generation) {
                leader->on_hold_done(now, hold.sent, hold.order.to, outcome, answer);
                collect();
            }
        });
    };
    const auto found = workers.find(order.to.worker);
    if (found == workers.end()) {
        reply(hold_outcome::gone, {});
        return;
    }
    auto& worker = found->second;
    if (!worker.is_up || worker.info.born != hold.life) {
        reply(hold_outcome::unknown, {});
        return;
    }
    if (worker.is_cut || random.chance(settings.lose_request)) {
        at(now + hold_patience, [=] { reply(hold_outcome::unknown, {}); });
        return;
    }
    advance(worker);
    const auto has_news = std::ranges::any_of(
        worker.ends, [&](const auto& end) { return end.row.number > order.cursor; });
    if (!has_news && now < hold.until && order.token.value() >= worker.fence) {
        at(now + 5ms, [this, hold] { answer_hold(hold); });
        return;
    }
    hold_answer answer;
    const auto outcome = carry_out(worker, order, answer);
    if (random.chance(settings.lose_answer)) {
        at(now + hold_patience, [=] { reply(hold_outcome::unknown, {}); });
        return;
    }
    reply(outcome, answer);
}

hold_outcome sim_cell::carry_out(sim_worker& worker, const hold_order& order, hold_answer& out)
{
    if (order.token.value() < worker.fence) {
        return hold_outcome::fenced;
    }
    worker.fence = order.token.value();
    if (worker.clock(now) >= worker.lease) {
        worker.last_lapse = now;
    }
    if (order.deadline) {
        worker.lease = std::max(worker.lease,
                                std::min(*order.deadline, worker.clock(now) + worker_time{6'000}));
    }
    for (const auto& end : worker.ends) {
        if (end.row.number <= order.cursor) {
            note(worker, end);
        }
    }
    std::erase_if(worker.ends, [&](const sim_worker::listed_end& end) {
        return end.row.number <= order.cursor;
    });
    out.clock = worker.clock(now);
    out.born = worker.info.born;
    for (const auto& [run, state] : worker.runs) {
        out.running.push_back({run, "", state.percent(now), std::nullopt});
    }
    for (const auto& end : worker.ends) {
        out.finished.push_back(end.row);
    }
    return hold_outcome::answered;
}

start_outcome sim_cell::carry_out(sim_worker& worker, const start_order& order)
{
    advance(worker);
    if (order.to.born != worker.info.born && order.token.value() < worker.fence) {
        return start_outcome::fenced;
    }
    if (order.token.value() < worker.fence) {
        return start_outcome::fenced;
    }
    worker.fence = order.token.value();
    if (worker.runs.contains(order.run)) {
        return start_outcome::started;
    }
    if (order.deadline <= worker.clock(now)) {
        return start_outcome::too_late;
    }
    if (worker.clock(now) >= worker.lease) {
        worker.last_lapse = now;
    }
    worker.lease = std::max(worker.lease, order.deadline);
    const auto barred = worker.barred.find(order.run.task);
    if (barred != worker.barred.end() && barred->second >= order.run.attempt) {
        return start_outcome::superseded;
    }
    check_start(worker, order.run);
    ++starts;
    const auto& step = records.find(order.run.task.job)->spec.steps[order.run.task.step];
    sim_worker::run run;
    run.began = now;
    const auto work = step.estimate * random.between(5, 20) / 10;
    run.ends = now + work;
    run.hangs = worker.hangs;
    run.waits = step.gang;
    if (worker.fails_all) {
        run.ends = now + 20ms;
        run.how = end_kind::failed;
    }
    else if (random.chance(settings.fail_run)) {
        run.how = end_kind::failed;
    }
    worker.runs.emplace(order.run, run);
    if (step.gang) {
        check_gang(order.run);
    }
    return start_outcome::started;
}

// Once every member of a gang's attempt is there, all begin to work and end at one time.
void sim_cell::check_gang(const run_key& run)
{
    const auto& step = records.find(run.task.job)->spec.steps[run.task.step];
    std::vector<sim_worker::run*> members;
    for (auto& [id, worker] : workers) {
        for (auto& [key, state] : worker.runs) {
            if (step_of(key.task) == step_of(run.task) && key.attempt == run.attempt &&
                worker.is_up) {
                members.push_back(&state);
            }
        }
    }
    if (members.size() < step.tasks) {
        return;
    }
    const auto ends = now + step.estimate;
    for (auto* member : members) {
        member->waits = false;
        member->ends = ends;
    }
}

void sim_cell::end(sim_worker& worker, const run_key& run, end_kind how)
{
    worker.runs.erase(run);
    auto& barred = worker.barred[run.task];
    barred = std::max(barred, run.attempt);
    worker.ends.push_back({{++worker.last_end, run, how, ""}, now});
    if (how == end_kind::lapsed) {
        worker.last_lapse = now;
    }
    if (how == end_kind::alone) {
        ++alone_ends;
        if (!is_disturbed) {
            violate("GANG", run, "a member waited in vain");
        }
    }
}

void sim_cell::advance(sim_worker& worker)
{
    if (!worker.is_up) {
        return;
    }
    std::vector<std::pair<run_key, end_kind>> over;
    for (const auto& [key, run] : worker.runs) {
        if (worker.clock(now) >= worker.lease) {
            over.emplace_back(key, end_kind::lapsed);
        }
        else if (run.stops && now >= *run.stops) {
            over.emplace_back(key, end_kind::stopped);
        }
        else if (run.waits && now - run.began >= gang_time) {
            over.emplace_back(key, end_kind::alone);
        }
        else if (!run.waits && !run.hangs && now >= run.ends) {
            over.emplace_back(key, run.how);
        }
    }
    for (const auto& [key, how] : over) {
        end(worker, key, how);
        const auto* const job = records.find(key.task.job);
        if (how == end_kind::done || job == nullptr || !job->spec.steps[key.task.step].gang) {
            continue;
        }
        for (auto& [id, other] : workers) {
            for (auto& [member, state] : other.runs) {
                if (step_of(member.task) == step_of(key.task) && member.attempt == key.attempt &&
                    !state.waits) {
                    state.how = end_kind::broken;
                    state.ends = now;
                }
            }
        }
    }
}

std::int64_t sim_cell::millis(base::time_point when) const
{
    return std::chrono::duration_cast<milliseconds>(when - m_begin).count();
}

void sim_cell::violate(const std::string& rule, const run_key& run, const std::string& detail)
{
    violations.push_back(
        absl::StrCat(rule, " ", text_of(run), " at ", millis(now), " ms: ", detail));
}

void sim_cell::check_start(const sim_worker& worker, const run_key& run)
{
    const auto& job = *records.find(run.task.job);
    const auto& step = job.spec.steps[run.task.step];
    size used = step.size;
    size account = step.size;
    for (auto& [id, other] : workers) {
        if (!other.is_up) {
            continue;
        }
        advance(other);
        for (const auto& [key, state] : other.runs) {
            const auto& other_job = *records.find(key.task.job);
            const auto size = other_job.spec.steps[key.task.step].size;
            if (id == worker.info.id) {
                used += size;
            }
            if (other_job.spec.account == job.spec.account) {
                account += size;
            }
            if (key.task == run.task) {
                violate("TWICE", run,
                        absl::StrCat("also runs on ", id.str(), " as attempt ", key.attempt,
                                     other.is_cut ? ", cut off" : "", ", clock ",
                                     other.clock(now).count(), " lease ", other.lease.count()));
            }
        }
    }
    if (!used.fits_in(worker.info.capacity)) {
        violate("LIMIT", run,
                absl::StrCat(used.millicores, " millicores on ", worker.info.id.str()));
    }
    const auto& limit = config->accounts.at(job.spec.account).limit;
    if (limit.millicores > 0 && account.millicores > limit.millicores) {
        violate("QUOTA", run, absl::StrCat(account.millicores, " of ", limit.millicores));
    }
    if (records.find(run.task)->done) {
        violate("TWICE", run, "is done already");
    }
    if (!job.is_ready(run.task.occurrence, run.task.step)) {
        violate("ORDER", run, "an earlier step isn't done");
    }
    m_starts[run.task].emplace_back(run.attempt, now);
    const auto cancelled = m_cancelled.find(run.task.job);
    if (cancelled != m_cancelled.end() && now - cancelled->second > 3s) {
        violate("UNASKED", run, "the job is cancelled");
    }
}

// An end counts once the cursor has reached it, unless the worker's lease ran out before.
void sim_cell::note(const sim_worker& worker, const sim_worker::listed_end& end)
{
    if (worker.last_lapse <= end.at) {
        m_noted[end.row.run.task].push_back({end.row.run.attempt, end.at, end.row.how});
    }
}

void sim_cell::check_noted_ends()
{
    for (const auto& [task, starts_of_task] : m_starts) {
        const auto* const job = records.find(task.job);
        for (const auto& [attempt, at_time] : starts_of_task) {
            std::uint32_t failed = 0;
            for (const auto& end : m_noted[task]) {
                if (end.at >= at_time) {
                    continue;
                }
                failed += end.how == end_kind::failed ? 1 : 0;
                if (end.how == end_kind::done) {
                    violate("TWICE", {task, attempt},
                            absl::StrCat("started at ", millis(at_time), " ms, but attempt ",
                                         end.attempt, " was done at ", millis(end.at),
                                         " ms and noted"));
                }
            }
            if (job != nullptr && failed >= job->spec.max_attempts) {
                violate("BUDGET", {task, attempt}, "has failed too often");
            }
        }
    }
}

void sim_cell::send(const advice_order& order)
{
    at(now + order.expected, [this, order, generation = m_generation] {
        if (!leader || generation != m_generation) {
            return;
        }
        std::vector<advice_row> rows;
        for (const auto& worker : order.workers) {
            // Three of four workers, the same at each call.
            const auto number = std::stoull(worker.str().substr(1));
            if ((number + order.step.job.value()) % 4 != 0) {
                rows.push_back({worker, "ticket"});
            }
        }
        leader->on_agent(now, order.agent);
        leader->on_advice(now, order.id, rows);
        collect();
    });
}

void sim_cell::step()
{
    if (now >= m_next_tick) {
        m_next_tick = now + 10ms;
        for (auto& [id, worker] : workers) {
            advance(worker);
        }
        if (leader) {
            for (int agent = 0; agent < 4; ++agent) {
                leader->on_agent(now, base::node_id{absl::StrCat("e", agent)});
            }
            leader->tick(now, wall());
        }
    }
    while (!m_actions.empty() && m_actions.begin()->first.when <= now) {
        const auto next = std::move(m_actions.begin()->second);
        m_actions.erase(m_actions.begin());
        next();
        collect();
    }
    collect();
}

void sim_cell::run_for(base::duration time)
{
    const auto until = now + time;
    while (now < until) {
        step();
        auto next = m_next_tick;
        if (!m_actions.empty()) {
            next = std::min(next, m_actions.begin()->first.when);
        }
        now = std::max(now, std::min(next, until));
    }
}

bool sim_cell::is_settled() const
{
    return records.open_jobs().empty();
}

} // namespace lovagebeam::jobs::test
