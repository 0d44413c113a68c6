#include "relay_messages.h"

#include <optional>

namespace lovagebeam::controlplane {

namespace pb = proto::controlplane;

using std::chrono::milliseconds;

pb::RelayRun to_proto(const jobs::run_key& run)
{
    pb::RelayRun out;
    out.set_job(run.task.job.value());
    out.set_occurrence(run.task.occurrence);
    out.set_step(run.task.step);
    out.set_index(run.task.index);
    out.set_attempt(run.attempt);
    return out;
}

jobs::run_key from_proto(const pb::RelayRun& message)
{
    return {
        {jobs::job_number{message.job()}, message.occurrence(), message.step(), message.index()},
        message.attempt()};
}

jobs::worker_address from_proto(const pb::RelayTarget& message)
{
    return {base::worker_id{message.worker()}, base::wall_time{milliseconds{message.born_ms()}},
            message.address(), static_cast<std::uint16_t>(message.port())};
}

void write(const jobs::hold_answer& answer, pb::RelayOutcome& out)
{
    out.set_clock_ms(answer.clock.count());
    out.set_born_ms(answer.started_at.time_since_epoch().count());
    for (const auto& row : answer.running) {
        auto& record = *out.add_running();
        *record.mutable_run() = to_proto(row.run);
        record.set_checkpoint(row.checkpoint);
        record.set_percent(row.percent);
        if (row.figure) {
            record.set_figure(*row.figure);
        }
    }
    for (const auto& row : answer.finished) {
        auto& record = *out.add_finished();
        record.set_number(row.number);
        *record.mutable_run() = to_proto(row.run);
        record.set_how(static_cast<std::uint32_t>(row.how));
        record.set_checkpoint(row.checkpoint);
    }
    out.set_may_lack_ends(answer.may_lack_ends);
}

jobs::hold_answer hold_answer_from(const pb::RelayOutcome& message)
{
    jobs::hold_answer out;
    out.clock = jobs::worker_time{message.clock_ms()};
    out.started_at = base::wall_time{milliseconds{message.born_ms()}};
    for (const auto& record : message.running()) {
        out.running.push_back(
            {from_proto(record.run()), record.checkpoint(), record.percent(),
             record.has_figure() ? std::optional{record.figure()} : std::nullopt});
    }
    for (const auto& record : message.finished()) {
        out.finished.push_back({record.number(), from_proto(record.run()),
                                static_cast<jobs::end_kind>(record.how()), record.checkpoint()});
    }
    out.may_lack_ends = message.may_lack_ends();
    return out;
}

} // namespace lovagebeam::controlplane
