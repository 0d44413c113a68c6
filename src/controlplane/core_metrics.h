#pragma once

#include "lovagebeam/jobs/coordinator.h"
#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/telemetry/metrics.h"

#include <set>
#include <string>
#include <string_view>

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
    /// Sets the gauges. Call about once a second.
    void update(const jobs::ledger& records, const jobs::coordinator* leader, base::time_point now);

private:
    void update_accounts(const jobs::ledger& records, const jobs::coordinator* leader);
    void count(std::string_view name, std::string_view label, std::string_view value);
    void record(std::string_view name, std::string_view label, std::string_view value,
                base::duration took);

    telemetry::metrics_registry& m_registry;
    std::set<std::string> m_accounts; ///< with gauges, so that they don't keep old values
};

} // namespace lovagebeam::controlplane
