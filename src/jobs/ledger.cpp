#include "lovagebeam/jobs/ledger.h"

#include "lovagebeam/base/errors.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::jobs {
namespace {

namespace pb = proto::jobs;

using base::error_code;
using base::make_error;

base::wall_time from_ms(std::int64_t ms)
{
    return base::wall_time{milliseconds{ms}};
}

end_kind from_proto(pb::EndKind kind)
{
    // The protobuf values have the same order, after the unspecified one.
    return static_cast<end_kind>(static_cast<int>(kind) - 1);
}

/// Finds the record of `key`, or nullptr when the job has no such task. `Job` may be const.
template <class Job>
auto find_task(Job& job, const task_key& key) -> decltype(job.steps.front().tasks.data())
{
    if (key.occurrence >= job.spec.runs() || key.step >= job.spec.steps.size()) {
        return nullptr;
    }
    auto& tasks = job.step(key.occurrence, key.step).tasks;
    return key.index < tasks.size() ? &tasks[key.index] : nullptr;
}

bool is_pending(const job_record& job)
{
    return !job.has_begun && !is_final(job.state) && job.spec.occurrences == 0;
}

const std::set<task_key>& tasks_of(const std::map<base::worker_id, std::set<task_key>>& by_worker,
                                   const base::worker_id& worker)
{
    static const std::set<task_key> none;
    const auto found = by_worker.find(worker);
    return found == by_worker.end() ? none : found->second;
}

} // namespace

size booked_size(const step_spec& step)
{
    // A task that fills unused processors still needs its memory.
    return step.fills ? jobs::size{0, step.size.memory_mb, step.size.accelerators} : step.size;
}

bool job_record::is_ready(std::uint32_t occurrence, std::uint32_t number) const
{
    return std::ranges::all_of(spec.steps[number].depends_on, [&](std::uint32_t earlier) {
        return step(occurrence, earlier).undone == 0;
    });
}

absl::Status ledger::apply(std::string_view bytes)
{
    pb::Batch batch;
    if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return make_error(error_code::invalid_request, "not a batch of job operations");
    }
    for (const auto& operation : batch.operations()) {
        apply_one(operation, from_ms(batch.time_ms()));
    }
    m_history = XXH3_64bits_withSeed(bytes.data(), bytes.size(), m_history);
    return absl::OkStatus();
}

void ledger::apply_one(const pb::Operation& operation, base::wall_time now)
{
    switch (operation.body_case()) {
    case pb::Operation::kAccept:
        return apply(operation.accept());
    case pb::Operation::kCancel:
        return apply(operation.cancel(), now);
    case pb::Operation::kPlace:
        return apply(operation.place());
    case pb::Operation::kBegin:
        return apply(operation.begin());
    case pb::Operation::kEnd:
        return apply(operation.end(), now);
    case pb::Operation::kPutWorker:
        return apply(operation.put_worker());
    case pb::Operation::kRemoveWorker:
        return apply(operation.remove_worker(), now);
    case pb::Operation::kPutCatalog:
        if (operation.put_catalog().version() > m_catalog_version) {
            m_catalog_version = operation.put_catalog().version();
            m_catalog = operation.put_catalog().document();
        }
        return;
    case pb::Operation::kForget:
        return apply(operation.forget());
    case pb::Operation::kPutCores:
        m_cores = {operation.put_cores().addresses().begin(),
                   operation.put_cores().addresses().end()};
        return;
    case pb::Operation::kPutEvacuation:
        return apply(operation.put_evacuation(), now);
    case pb::Operation::BODY_NOT_SET:
        return;
    }
}

void ledger::apply(const pb::PutWorker& operation)
{
    auto info = jobs::from_proto(operation.worker());
    if (has_departed(info.id, info.started_at) || is_outdated(info, operation.sequence())) {
        return;
    }
    auto id = info.id;
    m_last_reports[id] = operation.sequence();
    m_workers.insert_or_assign(std::move(id), std::move(info));
}

bool ledger::is_outdated(const worker_info& info, std::uint64_t sequence) const
{
    const auto known = m_workers.find(info.id);
    if (known == m_workers.end()) {
        return false;
    }
    const auto& present = known->second.started_at;
    return info.started_at < present ||
           (info.started_at == present && sequence < last_report(info.id));
}

std::uint64_t ledger::last_report(const base::worker_id& id) const
{
    const auto found = m_last_reports.find(id);
    return found == m_last_reports.end() ? 0 : found->second;
}

// The departure of an earlier instance may arrive after a later one with the same id registered.
void ledger::apply(const pb::RemoveWorker& operation, base::wall_time now)
{
    const base::worker_id id{operation.id()};
    const auto found = m_workers.find(id);
    const auto started_at = operation.born_ms() != 0   ? from_ms(operation.born_ms())
                            : found != m_workers.end() ? found->second.started_at
                                                       : base::wall_time{};
    if (found != m_workers.end() && found->second.started_at <= started_at) {
        m_workers.erase(found);
        m_last_reports.erase(id);
    }
    auto& departed = m_departed[id];
    departed.started_at = std::max(departed.started_at, started_at);
    departed.left = now;
}

bool ledger::has_departed(const base::worker_id& id, base::wall_time started_at) const
{
    const auto found = m_departed.find(id);
    return found != m_departed.end() && started_at <= found->second.started_at;
}

void ledger::apply(const pb::AcceptJob& operation)
{
    job_record job;
    job.spec = jobs::from_proto(operation.spec());
    job.accepted = from_ms(operation.accepted_ms());
    if (m_jobs.contains(job.spec.id)) {
        return;
    }
    for (std::uint32_t run = 0; run < job.spec.runs(); ++run) {
        for (const auto& step : job.spec.steps) {
            step_record record;
            record.tasks.resize(step.tasks);
            record.undone = step.tasks;
            job.steps.push_back(std::move(record));
        }
    }
    const auto id = job.spec.id;
    index(m_jobs.emplace(id, std::move(job)).first->second);
}

void ledger::index(job_record& job)
{
    if (!is_final(job.state) || job.placed > 0) {
        m_open.insert(job.spec.id);
    }
    if (is_pending(job)) {
        ++m_pending[job.spec.queue];
    }
}

void ledger::apply(const pb::CancelJob& operation, base::wall_time now)
{
    const auto found = m_jobs.find(job_number{operation.job()});
    if (found != m_jobs.end()) {
        finish(found->second, job_state::cancelled, now);
    }
}

void ledger::finish(job_record& job, job_state state, base::wall_time now)
{
    if (is_final(job.state)) {
        return;
    }
    if (is_pending(job)) {
        --m_pending[job.spec.queue];
    }
    job.state = state;
    job.ended = now;
    job.spec.payload.clear();
    job.spec.payload.shrink_to_fit();
    close_if_released(job);
}

void ledger::close_if_released(job_record& job)
{
    if (is_final(job.state) && job.placed == 0) {
        m_open.erase(job.spec.id);
    }
}

bool ledger::may_place(const pb::PlaceTasks& operation) const
{
    return std::ranges::all_of(operation.placements(), [this](const pb::Placement& placement) {
        const auto run = jobs::from_proto(placement.task());
        const auto found = m_jobs.find(run.task.job);
        const auto* const task = find(run.task);
        return task != nullptr && !task->placed && !task->done && run.attempt > task->attempt &&
               !is_final(found->second.state) &&
               found->second.is_ready(run.task.occurrence, run.task.step);
    });
}

void ledger::apply(const pb::PlaceTasks& operation)
{
    if (names_evacuated_worker(operation) || !may_place(operation)) {
        return;
    }
    for (const auto& placement : operation.placements()) {
        place(placement);
    }
}

void ledger::place(const pb::Placement& placement)
{
    const auto run = jobs::from_proto(placement.task());
    auto& job = m_jobs.at(run.task.job);
    auto& step = job.step(run.task.occurrence, run.task.step);
    auto& task = step.tasks[run.task.index];
    if (task.placed) {
        return;
    }
    task.placed = true;
    task.attempt = run.attempt;
    task.worker = base::worker_id{placement.worker()};
    task.worker_started_at = from_ms(placement.born_ms());
    ++step.placed;
    ++job.placed;
    index_placement(job.spec, run.task, task);
}

// A placement is no sign that a job has begun: its worker may be gone.
void ledger::apply(const pb::BeginJobs& operation)
{
    for (const auto id : operation.jobs()) {
        const auto found = m_jobs.find(job_number{id});
        if (found == m_jobs.end() || found->second.has_begun) {
            continue;
        }
        auto& job = found->second;
        if (is_pending(job)) {
            --m_pending[job.spec.queue];
        }
        job.has_begun = true;
        if (!is_final(job.state)) {
            job.state = job_state::running;
        }
    }
}

void ledger::index_placement(const job_spec& spec, const task_key& key, const task_record& task)
{
    const auto size = booked_size(spec.steps[key.step]);
    m_placed[task.worker].insert(key);
    m_used_on[task.worker] += size;
    m_used_by[spec.account] += size;
    if (task.crashes.count > 0) {
        m_suspects[task.worker].insert(key);
    }
}

void ledger::release(job_record& job, const task_key& key, task_record& task)
{
    task.placed = false;
    --job.step(key.occurrence, key.step).placed;
    --job.placed;
    const auto size = booked_size(job.spec.steps[key.step]);
    m_used_on[task.worker] -= size;
    m_used_by[job.spec.account] -= size;
    auto& placed = m_placed[task.worker];
    placed.erase(key);
    if (placed.empty()) {
        m_placed.erase(task.worker);
        m_used_on.erase(task.worker);
    }
    if (const auto suspects = m_suspects.find(task.worker); suspects != m_suspects.end()) {
        suspects->second.erase(key);
        if (suspects->second.empty()) {
            m_suspects.erase(suspects);
        }
    }
}

void ledger::apply(const pb::EndTask& operation, base::wall_time now)
{
    const auto run = jobs::from_proto(operation.task());
    const auto found = m_jobs.find(run.task.job);
    if (found == m_jobs.end()) {
        return;
    }
    auto& job = found->second;
    auto* const task = find_task(job, run.task);
    if (task == nullptr || !task->placed || task->attempt != run.attempt ||
        task->worker.str() != operation.worker()) {
        return;
    }
    release(job, run.task, *task);
    if (!operation.checkpoint().empty()) {
        task->checkpoint = operation.checkpoint();
    }
    const auto& spec = job.spec.steps[run.task.step];
    if (operation.crash_verdict() != pb::CRASH_VERDICT_UNRELATED) {
        count_crash(job, *task, operation, now);
    }
    if (spec.gang) {
        end_gang(job, run.task, operation, now);
    }
    else if (from_proto(operation.how()) == end_kind::done && !spec.long_running) {
        task->done = true;
        --job.step(run.task.occurrence, run.task.step).undone;
    }
    else if (from_proto(operation.how()) == end_kind::failed && !spec.long_running) {
        count_failure(job, *task, now);
    }
    finish_if_complete(job, now);
    close_if_released(job);
}

// The tasks of a gang end together: if one is done, all are, and at most one failure is counted for
// each attempt of the whole gang. A long-running gang starts again however it ends.
void ledger::end_gang(job_record& job, const task_key& key, const pb::EndTask& operation,
                      base::wall_time now)
{
    auto& step = job.step(key.occurrence, key.step);
    if (!operation.checkpoint().empty()) {
        for (auto& member : step.tasks) {
            member.checkpoint = operation.checkpoint();
        }
    }
    if (job.spec.steps[key.step].long_running) {
        return;
    }
    const auto how = from_proto(operation.how());
    if (how == end_kind::done && step.undone > 0) {
        for (auto& member : step.tasks) {
            member.done = true;
        }
        step.undone = 0;
    }
    else if (how == end_kind::failed && step.undone > 0 &&
             step.failed_attempt != operation.task().attempt()) {
        step.failed_attempt = operation.task().attempt();
        count_failure(job, step.tasks.front(), now);
    }
}

void ledger::count_failure(job_record& job, task_record& task, base::wall_time now)
{
    ++task.failures;
    if (task.failures >= job.spec.max_attempts || is_over_limit(task.crashes, task.failures)) {
        finish(job, job_state::failed, now);
    }
}

void ledger::count_crash(job_record& job, task_record& task, const pb::EndTask& operation,
                         base::wall_time now)
{
    ++task.crashes.count;
    task.crashes.confirmed += operation.crash_verdict() == pb::CRASH_VERDICT_POSSIBLE ? 0 : 1;
    task.crashes.last_ran =
        operation.ran_ms() < 0 ? std::nullopt : std::optional{milliseconds{operation.ran_ms()}};
    if (operation.crash_verdict() == pb::CRASH_VERDICT_CAUSED) {
        finish(job, job_state::failed, now);
    }
}

void ledger::finish_if_complete(job_record& job, base::wall_time now)
{
    if (!is_final(job.state) &&
        std::ranges::all_of(job.steps, [](const step_record& step) { return step.undone == 0; })) {
        finish(job, job_state::completed, now);
    }
}

void ledger::apply(const pb::ForgetJobs& operation)
{
    const auto before = from_ms(operation.ended_before_ms());
    std::erase_if(m_jobs, [&](const auto& entry) {
        const auto& job = entry.second;
        return is_final(job.state) && job.placed == 0 && job.ended < before;
    });
    std::erase_if(m_departed, [&](const auto& entry) { return entry.second.left < before; });
}

const job_record* ledger::find(job_number id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const task_record* ledger::find(const task_key& key) const
{
    const auto found = m_jobs.find(key.job);
    return found == m_jobs.end() ? nullptr : find_task(found->second, key);
}

const std::set<task_key>& ledger::placed_on(const base::worker_id& worker) const
{
    return tasks_of(m_placed, worker);
}

const std::set<task_key>& ledger::suspects_on(const base::worker_id& worker) const
{
    return tasks_of(m_suspects, worker);
}

size ledger::used_on(const base::worker_id& worker) const
{
    const auto found = m_used_on.find(worker);
    return found == m_used_on.end() ? size{} : found->second;
}

size ledger::used_by(const std::string& account) const
{
    const auto found = m_used_by.find(account);
    return found == m_used_by.end() ? size{} : found->second;
}

std::uint64_t ledger::pending(std::string_view queue) const
{
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

std::uint64_t ledger::pending() const
{
    std::uint64_t sum = 0;
    for (const auto& [queue, count] : m_pending) {
        sum += count;
    }
    return sum;
}

} // namespace lovagebeam::jobs
