#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/consensus/effects.h"
#include "lovagebeam/consensus/types.h"

#include <deque>
#include <string>
#include <vector>

namespace lovagebeam::consensus::test {

/// An in-memory disk. Writes are durable once synced; a crash retains a random part of the others.
class sim_disk {
public:
    consensus::hard_state hard_state;
    snapshot_meta snapshot;
    std::string snapshot_data;
    /// The synced entries after the snapshot.
    std::vector<log_entry> log;
    std::deque<persist_request> pending;

    void sync_through(storage_sequence sequence)
    {
        while (!pending.empty() && pending.front().sequence <= sequence) {
            write(pending.front(), pending.front().entries.size(), true);
            pending.pop_front();
        }
    }

    /// Discards unsynced writes except for a random prefix, whose last write may be torn.
    void crash(base::random_source& random)
    {
        const std::size_t whole = random.below(pending.size() + 1);
        for (std::size_t i = 0; i < whole; ++i) {
            write(pending[i], pending[i].entries.size(), true);
        }
        if (whole < pending.size() && random.chance(0.5)) {
            write(pending[whole], random.below(pending[whole].entries.size() + 1), false);
        }
        pending.clear();
    }

    void save_snapshot(const snapshot_meta& meta, std::string data)
    {
        std::erase_if(log, [&](const log_entry& entry) { return entry.index <= meta.index; });
        snapshot = meta;
        snapshot_data = std::move(data);
    }

    void install_snapshot(const snapshot_meta& meta, std::string data)
    {
        if (!pending.empty()) {
            sync_through(pending.back().sequence);
        }
        log.clear();
        snapshot = meta;
        snapshot_data = std::move(data);
    }

private:
    void write(const persist_request& request, std::size_t entries, bool with_hard_state)
    {
        if (request.truncate_from) {
            std::erase_if(
                log, [&](const log_entry& entry) { return entry.index >= *request.truncate_from; });
        }
        for (std::size_t i = 0; i < entries; ++i) {
            if (request.entries[i].index > snapshot.index) {
                log.push_back(request.entries[i]);
            }
        }
        if (with_hard_state && request.hard_state) {
            hard_state = *request.hard_state;
        }
    }
};

} // namespace lovagebeam::consensus::test
