#include "lovagebeam/jobs/worker_table.h"

// What the lists of the workers say about the work that a run would lose.

namespace lovagebeam::jobs {

void worker_table::note_checkpoint(entry& worker, base::time_point now, const running_row& row)
{
    if (row.checkpoint.empty()) {
        return;
    }
    // The first one listed may be what the run was started from.
    auto& last = worker.checkpoints.try_emplace(row.run, listed_checkpoint{row.checkpoint, {}})
                     .first->second;
    if (last.text != row.checkpoint) {
        last = {row.checkpoint, now};
    }
}

std::optional<worker_table::run_history> worker_table::history_of(const base::worker_id& id,
                                                                  const run_key& run) const
{
    const auto* const worker = find(id);
    if (worker == nullptr || !has_begun(*worker, run)) {
        return std::nullopt;
    }
    run_history out;
    if (const auto start = worker->starts.find(run); start != worker->starts.end()) {
        out.started = start->second.sent_at;
    }
    if (const auto listed = worker->checkpoints.find(run); listed != worker->checkpoints.end()) {
        out.checkpointed = listed->second.changed_at;
    }
    if (const auto row = worker->running.find(run); row != worker->running.end()) {
        out.percent = row->second.percent;
    }
    return out;
}

} // namespace lovagebeam::jobs
