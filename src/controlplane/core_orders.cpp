#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"
#include "lovagebeam/telemetry/log.h"

#include "core_host_implementation.h"
#include "internal_calls.h"

#include <chrono>
#include <utility>

// Carries out what the coordinator decides: commits, and orders to workers and agents.

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using base::error_code;
using telemetry::log_event;
using telemetry::severity;

/// An operation that isn't committed by then is reported to the caller as unconfirmed, since it may
/// still be committed.
constexpr std::chrono::milliseconds commit_timeout{3'000};
/// The coordinator is recreated if its decisions aren't committed by then.
constexpr std::chrono::milliseconds batch_commit_timeout{10'000};
/// Time that an entry process may add to the timeout of the advice service.
constexpr std::chrono::milliseconds agent_margin{300};

} // namespace

void core_host_implementation::execute_decisions(base::time_point now)
{
    const auto started = base::boot_time();
    auto out = m_coordinator->take(now, wall(now));
    const auto ended = base::boot_time();
    m_coordinator->on_planning_time(ended, ended - started);
    if (out.withheld_starts > 0) {
        m_core_metrics.on_withheld_starts(out.withheld_starts);
    }
    for (const auto& [id, batch] : out.batches) {
        commit_batch(now, id, batch);
    }
    for (const auto& order : out.starts) {
        send(now, order);
    }
    for (const auto& order : out.stops) {
        send(now, order);
    }
    for (const auto& order : out.holds) {
        send(now, order);
    }
    for (const auto& order : out.advice) {
        send(order);
    }
    for (const auto& outcome : out.forecasts) {
        m_core_metrics.on_forecast(outcome);
    }
    m_core_metrics.on_preempted(out.preempted);
    for (const auto& entry : out.log_entries) {
        m_core_metrics.on_decision(entry);
        log_event line{severity::info, entry.event};
        if (entry.job) {
            line.with("job", jobs::format_job_id(*entry.job));
        }
        line.with("detail", entry.detail).write();
    }
}

void core_host_implementation::post_to_coordinator(
    std::uint64_t generation, std::function<void(base::time_point, jobs::coordinator&)> work)
{
    m_loop.post_completion([this, generation, work = std::move(work)](base::time_point now) {
        if (m_coordinator && m_generation == generation) {
            work(now, *m_coordinator);
        }
    });
}

void core_host_implementation::send(base::time_point sent, const jobs::start_order& order)
{
    m_worker_port.start(order, [this, sent, generation = m_generation, run = order.run,
                                worker = order.to.worker](jobs::start_outcome outcome) {
        post_to_coordinator(generation, [=, this](base::time_point now, jobs::coordinator& to) {
            m_core_metrics.on_start_call(outcome, now - sent);
            to.on_start_answer(now, run, worker, outcome);
        });
    });
}

void core_host_implementation::send(base::time_point, const jobs::stop_order& order)
{
    m_worker_port.stop(order, [this, generation = m_generation, run = order.run,
                               worker = order.to.worker](bool is_done) {
        if (is_done) {
            post_to_coordinator(generation, [=](base::time_point now, jobs::coordinator& to) {
                to.on_stop_done(now, run, worker);
            });
        }
    });
}

void core_host_implementation::send(base::time_point now, const jobs::hold_order& order)
{
    m_worker_port.hold(order, [this, generation = m_generation, sent = now,
                               order](jobs::hold_outcome outcome, jobs::hold_answer answer) {
        post_to_coordinator(generation, [sent, order, outcome, answer = std::move(answer)](
                                            base::time_point when, jobs::coordinator& coordinator) {
            coordinator.on_hold_done(when, sent, order, outcome, answer);
        });
    });
}

void core_host_implementation::send(const jobs::advice_order& order)
{
    pb::AdviceRequest request;
    request.set_job(order.step.job.value());
    request.set_occurrence(order.step.occurrence);
    request.set_step(order.step.step);
    for (const auto& worker : order.workers) {
        request.add_workers(worker.str());
    }
    request.set_timeout_ms((order.expected + agent_margin).count());
    post_message<pb::AdviceAnswer>(
        m_client, order.agent.str(), entry_port(m_settings), advice_path, request,
        order.expected + agent_margin,
        [this, generation = m_generation, id = order.id](std::optional<pb::AdviceAnswer> answer,
                                                         call_failure) {
            std::optional<std::vector<jobs::advice_row>> rows;
            if (answer && answer->answered()) {
                rows.emplace();
                for (const auto& row : answer->rows()) {
                    rows->push_back({base::worker_id{row.worker()}, row.ticket()});
                }
            }
            post_to_coordinator(generation, [id, rows = std::move(rows)](base::time_point now,
                                                                         jobs::coordinator& to) {
                to.on_advice(now, id, rows);
            });
        });
}

void core_host_implementation::commit_batch(base::time_point now, std::uint64_t id,
                                            const proto::jobs::Batch& batch)
{
    state::command command;
    command.set_job_batch(batch.SerializeAsString());
    m_log.propose_as_leader(now, std::move(command), now + batch_commit_timeout,
                            [this, now, generation = m_generation,
                             id](const absl::StatusOr<state::apply_result>& result) {
                                if (!m_coordinator || m_generation != generation) {
                                    return;
                                }
                                m_core_metrics.on_commit(base::boot_time() - now);
                                m_load.on_commit(base::boot_time() - now);
                                if (result.ok() && result->status.ok()) {
                                    m_coordinator->on_batch_committed(id);
                                    return;
                                }
                                log_event{severity::warning, "decisions_not_committed"}
                                    .with("detail", std::string{result.status().message()})
                                    .write();
                                // Deferred, because stop_leading() destroys the coordinator, which
                                // may be the caller.
                                m_loop.post_completion([this, generation](base::time_point) {
                                    if (m_generation == generation) {
                                        stop_leading();
                                    }
                                });
                            });
}

void core_host_implementation::commit(base::time_point now, proto::jobs::Batch batch,
                                      commit_done done)
{
    batch.set_time_ms(wall(now).time_since_epoch().count());
    state::command command;
    command.set_job_batch(batch.SerializeAsString());
    m_log.propose_as_leader(now, std::move(command), now + commit_timeout,
                            [done = std::move(done)](const auto& result) {
                                if (result.ok()) {
                                    done(commit_outcome::committed);
                                }
                                else if (base::has_code(result.status(), error_code::not_leader) ||
                                         base::has_code(result.status(), error_code::queue_full)) {
                                    done(commit_outcome::refused);
                                }
                                else {
                                    done(commit_outcome::unconfirmed);
                                }
                            });
}

void core_host_implementation::commit(base::time_point now, proto::jobs::Operation operation,
                                      commit_done done)
{
    proto::jobs::Batch batch;
    *batch.add_operations() = std::move(operation);
    commit(now, std::move(batch), std::move(done));
}

} // namespace lovagebeam::controlplane
