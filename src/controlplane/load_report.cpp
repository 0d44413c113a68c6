#include "load_report.h"

#include "lovagebeam/telemetry/log.h"

#include <algorithm>
#include <chrono>
#include <sys/resource.h>
#include <utility>

namespace lovagebeam::controlplane {
namespace {

using telemetry::log_event;
using telemetry::severity;

constexpr std::chrono::seconds write_interval{1};

base::duration processor_time()
{
    rusage use{};
    getrusage(RUSAGE_SELF, &use);
    const auto of = [](const timeval& time) {
        return std::chrono::seconds{time.tv_sec} + std::chrono::microseconds{time.tv_usec};
    };
    return of(use.ru_utime) + of(use.ru_stime);
}

std::int64_t microseconds(base::duration time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

} // namespace

void load_report::on_call(std::uint32_t attempt, base::duration waited)
{
    ++m_interval.calls;
    m_interval.resent_calls += attempt > 1 ? 1 : 0;
    m_interval.longest_wait = std::max(m_interval.longest_wait, waited);
}

void load_report::on_commit(base::duration took)
{
    m_interval.longest_commit = std::max(m_interval.longest_commit, took);
}

void load_report::on_batch(base::time_point now)
{
    ++m_interval.batches;
    if (m_last_batch != base::time_point{}) {
        m_interval.longest_batch = std::max(m_interval.longest_batch, now - m_last_batch);
    }
    m_last_batch = now;
}

bool load_report::is_due(base::time_point now) const
{
    return now - m_started >= write_interval;
}

void load_report::write(base::time_point now, bool is_leading, const levels& current)
{
    const auto processor = processor_time();
    if (is_leading && m_started != base::time_point{}) {
        const auto& last = m_interval;
        log_event{severity::info, "leader_load"}
            .with("interval_us", microseconds(now - m_started))
            .with("cpu_us", microseconds(processor - m_processor))
            .with("batches", last.batches)
            .with("longest_batch_us", microseconds(last.longest_batch))
            .with("decisions_us", microseconds(last.decisions))
            .with("longest_commit_us", microseconds(last.longest_commit))
            .with("calls", last.calls)
            .with("resent_calls", last.resent_calls)
            .with("expired_calls", last.expired_calls)
            .with("longest_wait_us", microseconds(last.longest_wait))
            .with("syncs", last.syncs)
            .with("connections_accepted", current.server.connections_accepted - m_connections)
            .with("connections_open", current.server.connections_open)
            .with("requests_in_progress", current.server.requests_in_progress)
            .with("requests_refused", current.server.requests_refused)
            .with("waiting_steps", current.waiting_steps)
            .with("relayed_orders", current.relayed_orders)
            .with("suspended_relays", current.suspended_relays)
            .write();
    }
    m_interval = {};
    m_started = now;
    m_processor = processor;
    m_connections = current.server.connections_accepted;
}

} // namespace lovagebeam::controlplane
