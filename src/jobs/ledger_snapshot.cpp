#include "lovagebeam/base/errors.h"
#include "lovagebeam/jobs/ledger.h"

#include <utility>

namespace lovagebeam::jobs {
namespace {

namespace pb = proto::jobs;

using base::error_code;
using base::make_error;

void write(const task_record& task, pb::TaskRecord& out)
{
    out.set_placed(task.placed);
    out.set_done(task.done);
    out.set_attempt(task.attempt);
    out.set_failures(task.failures);
    out.set_worker(task.worker.str());
    out.set_born_ms(task.worker_started_at.time_since_epoch().count());
    out.set_checkpoint(task.checkpoint);
    out.set_crashes(task.crashes.count);
    out.set_confirmed_crashes(task.crashes.confirmed);
    out.set_crash_ran_ms(task.crashes.last_ran ? task.crashes.last_ran->count() : -1);
}

task_record read(const pb::TaskRecord& message)
{
    task_record out;
    out.placed = message.placed();
    out.done = message.done();
    out.attempt = message.attempt();
    out.failures = message.failures();
    out.worker = base::worker_id{message.worker()};
    out.worker_started_at = base::wall_time{milliseconds{message.born_ms()}};
    out.checkpoint = message.checkpoint();
    out.crashes.count = message.crashes();
    out.crashes.confirmed = message.confirmed_crashes();
    if (out.crashes.count > 0 && message.crash_ran_ms() >= 0) {
        out.crashes.last_ran = milliseconds{message.crash_ran_ms()};
    }
    return out;
}

void write(const job_record& job, pb::JobRecord& out)
{
    *out.mutable_spec() = to_proto(job.spec);
    out.set_accepted_ms(job.accepted.time_since_epoch().count());
    out.set_ended_ms(job.ended.time_since_epoch().count());
    out.set_state(static_cast<std::uint32_t>(job.state));
    out.set_has_begun(job.has_begun);
    for (const auto& step : job.steps) {
        auto& record = *out.add_steps();
        record.set_failed_attempt(step.failed_attempt);
        for (const auto& task : step.tasks) {
            write(task, *record.add_tasks());
        }
    }
}

job_record read(const pb::JobRecord& message)
{
    job_record out;
    out.spec = from_proto(message.spec());
    out.accepted = base::wall_time{milliseconds{message.accepted_ms()}};
    out.ended = base::wall_time{milliseconds{message.ended_ms()}};
    out.state = static_cast<job_state>(message.state());
    out.has_begun = message.has_begun();
    for (const auto& record : message.steps()) {
        step_record step;
        step.failed_attempt = record.failed_attempt();
        for (const auto& task : record.tasks()) {
            step.tasks.push_back(read(task));
            step.undone += step.tasks.back().done ? 0 : 1;
            step.placed += step.tasks.back().placed ? 1 : 0;
        }
        out.placed += step.placed;
        out.steps.push_back(std::move(step));
    }
    return out;
}

} // namespace

std::string ledger::encode() const
{
    pb::Snapshot out;
    for (const auto& [id, job] : m_jobs) {
        write(job, *out.add_jobs());
    }
    for (const auto& [id, worker] : m_workers) {
        *out.add_workers() = to_proto(worker);
        out.add_worker_sequences(last_report(id));
    }
    for (const auto& [id, departed] : m_departed) {
        auto& record = *out.add_departed();
        record.set_id(id.str());
        record.set_born_ms(departed.started_at.time_since_epoch().count());
        record.set_left_ms(departed.left.time_since_epoch().count());
    }
    out.mutable_catalog()->set_version(m_catalog_version);
    out.mutable_catalog()->set_document(m_catalog);
    for (const auto& address : m_cores) {
        out.add_core_addresses(address);
    }
    write_evacuations(out);
    out.set_history(m_history);
    return out.SerializeAsString();
}

absl::Status ledger::decode(std::string_view bytes)
{
    pb::Snapshot message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return make_error(error_code::snapshot_corrupt, "cannot parse the job ledger");
    }
    *this = ledger{};
    for (const auto& record : message.jobs()) {
        job_record job = read(record);
        if (job.steps.size() != job.spec.steps.size() * job.spec.runs()) {
            return make_error(error_code::snapshot_corrupt, "a job has the wrong number of steps");
        }
        const auto id = job.spec.id;
        index(m_jobs.insert_or_assign(id, std::move(job)).first->second);
    }
    for (auto& [id, job] : m_jobs) {
        index_placements(job);
    }
    for (int i = 0; i < message.workers_size(); ++i) {
        auto info = from_proto(message.workers(i));
        auto id = info.id;
        // Snapshots of earlier versions have no numbers of reports.
        if (i < message.worker_sequences_size()) {
            m_last_reports[id] = message.worker_sequences(i);
        }
        m_workers.insert_or_assign(std::move(id), std::move(info));
    }
    for (const auto& record : message.departed()) {
        m_departed.insert_or_assign(base::worker_id{record.id()},
                                    departure{base::wall_time{milliseconds{record.born_ms()}},
                                              base::wall_time{milliseconds{record.left_ms()}}});
    }
    m_catalog_version = message.catalog().version();
    m_catalog = message.catalog().document();
    m_cores = {message.core_addresses().begin(), message.core_addresses().end()};
    read_evacuations(message);
    m_history = message.history();
    return absl::OkStatus();
}

void ledger::index_placements(const job_record& job)
{
    for (std::uint32_t run = 0; run < job.spec.runs(); ++run) {
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& tasks = job.step(run, step).tasks;
            for (std::uint32_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].placed) {
                    index_placement(job.spec, {job.spec.id, run, step, index}, tasks[index]);
                }
            }
        }
    }
}

} // namespace lovagebeam::jobs
