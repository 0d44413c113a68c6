#include "lovagebeam/base/errors.h"
#include "lovagebeam/consensus/codec.h"

#include "replica_impl.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace lovagebeam::consensus {

namespace {

absl::Status check_timing(const replica_timing& timing)
{
    const bool times = timing.heartbeat_interval.count() > 0 &&
                       timing.heartbeat_interval * 2 <= timing.election_timeout_min &&
                       timing.election_timeout_min <= timing.election_timeout_max;
    const bool limits = timing.max_batch_entries > 0 && timing.max_inflight_messages > 0 &&
                        timing.snapshot_chunk_bytes > 0 && timing.clock_drift >= 0.0 &&
                        timing.clock_drift < 0.5;
    if (!times || !limits) {
        return base::make_error(base::error_code::invalid_settings,
                                "inconsistent replica timing or limits");
    }
    return absl::OkStatus();
}

absl::Status check_entries(const snapshot_meta& snapshot, const std::vector<log_entry>& entries)
{
    log_index index = snapshot.index;
    term last = snapshot.term;
    for (const log_entry& entry : entries) {
        if (entry.index != index.next() || entry.term < last) {
            return base::make_error(base::error_code::log_corrupt,
                                    absl::StrCat("entry ", entry.index.value(), " of term ",
                                                 entry.term.value(), " can't follow entry ",
                                                 index.value(), " of term ", last.value()));
        }
        if (entry.kind == entry_kind::membership && !decode_config(entry.payload)) {
            return base::make_error(
                base::error_code::log_corrupt,
                absl::StrCat("configuration at index ", entry.index.value(), " can't be decoded"));
        }
        index = entry.index;
        last = entry.term;
    }
    return absl::OkStatus();
}

} // namespace

replica_builder::replica_builder(member self) : m_self{std::move(self)} {}

replica_builder& replica_builder::durable(bool value)
{
    m_durable = value;
    return *this;
}

replica_builder& replica_builder::state(hard_state value)
{
    m_state = std::move(value);
    return *this;
}

replica_builder& replica_builder::snapshot(snapshot_meta value)
{
    m_snapshot = std::move(value);
    return *this;
}

replica_builder& replica_builder::entries(std::vector<log_entry> value)
{
    m_entries = std::move(value);
    return *this;
}

replica_builder& replica_builder::timing(replica_timing value)
{
    m_timing = value;
    return *this;
}

replica_builder& replica_builder::random(base::random_source value)
{
    m_random = value;
    return *this;
}

absl::StatusOr<std::unique_ptr<replica>> replica_builder::build(base::time_point now)
{
    if (m_self.id.empty() || m_self.incarnation == incarnation{}) {
        return base::make_error(base::error_code::invalid_settings,
                                "a replica needs a node id and an incarnation");
    }
    if (absl::Status status = check_timing(m_timing); !status.ok()) {
        return status;
    }
    std::erase_if(m_entries,
                  [&](const log_entry& entry) { return entry.index <= m_snapshot.index; });
    if (absl::Status status = check_entries(m_snapshot, m_entries); !status.ok()) {
        return status;
    }
    return std::make_unique<replica_impl>(replica_initial_state{
        m_self, m_durable, m_state, m_snapshot, std::move(m_entries), m_timing, m_random, now});
}

} // namespace lovagebeam::consensus
