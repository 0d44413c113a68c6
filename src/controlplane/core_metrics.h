#pragma once

#include "lovagebeam/jobs/coordinator.h"
#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/telemetry/metrics.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::controlplane {

/// Updates the metrics of a core process. Used on the decisions thread only; the registry may be
/// read from any thread.
class core_metrics {
public:
    explicit core_metrics(telemetry::metrics_registry& registry) : m_registry{registry} {}

    /// Call after `batch` was applied to `records`.
    void on_applied(const jobs::ledger& records, const proto::jobs::Batch& batch,
                    base::wall_time wall);
    void on_commit(base::duration took);
    void on_start_call(jobs::start_outcome outcome, base::duration took);
    void on_advice_call(bool is_answered, base::duration took);
    void on_refusal(unsigned status);
    void on_withheld_starts(std::uint64_t count);
    /// Counts the decisions that have a counter.
    void on_decision(const jobs::decision_log_entry& entry);
    /// A new job was admitted or refused by the forecast of its end.
    void on_judged(std::string_view queue, bool is_admitted);
    void on_forecast(const jobs::forecast_outcome& outcome);
    void on_preempted(const std::vector<jobs::preempted_run>& runs);
    /// Sets the gauges. Call about once a second.
    void update(const jobs::ledger& records, const jobs::coordinator* leader, base::time_point now);

private:
    void update_accounts(const jobs::ledger& records, const jobs::coordinator* leader);
    void count(std::string_view name, std::string_view label, std::string_view value);
    void record(std::string_view name, std::string_view label, std::string_view value,
                base::duration took);

    telemetry::metrics_registry& m_registry;
    double m_preempted_core_seconds = 0; ///< work thrown away since the process started
    std::set<std::string> m_accounts;    ///< with gauges, so that they don't keep old values
};

} // namespace lovagebeam::controlplane
