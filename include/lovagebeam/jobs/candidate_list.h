#pragma once

#include "lovagebeam/jobs/model.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagebeam::jobs {

/// The workers that may get tasks, with the capacity that is free on each. It is updated with each
/// change of a worker, so that a planning pass costs nothing for the workers that it doesn't look
/// at. No I/O and no clock. Not thread-safe.
class candidate_list {
public:
    struct candidate {
        const worker_info* info = nullptr; ///< nullptr when the worker isn't registered
        size free;
        size capacity; ///< as counted in the pool
        size planned;  ///< decided or reserved, not yet in the ledger
        bool is_usable = false;
        double speed = 1; ///< relative to the median of the pool
        std::size_t pool = 0;
        std::size_t index = 0; ///< in the list of all entries
    };
    struct pool_total {
        std::string name;
        size free;         ///< of the usable workers
        size capacity;     ///< of the usable workers
        size planned;      ///< of the usable workers, as in `candidate::planned`
        size largest_free; ///< of each resource, on one worker when the last pass began
    };

    /// Records the state of a worker: `info` points to its record, or is nullptr if it is gone;
    /// `used` is what the ledger has placed on it. `info` must stay valid until the next update.
    void update(const base::worker_id& id, const worker_info* info, const size& used,
                bool is_usable);

    /// Books `more` on a worker before the ledger does.
    void book(candidate& on, const size& more);
    void release(candidate& on, const size& less);

    /// Updates `pool_total::largest_free`.
    void begin_pass();

    /// Returns the usable worker, or nullptr.
    [[nodiscard]] candidate* find_usable(const base::worker_id& id);
    /// Returns the entry of a worker; its address stays valid.
    [[nodiscard]] candidate& entry(const base::worker_id& id);
    /// All entries, also of workers that aren't usable.
    [[nodiscard]] std::deque<candidate>& all() { return m_candidates; }
    [[nodiscard]] const std::deque<candidate>& all() const { return m_candidates; }
    [[nodiscard]] const std::vector<pool_total>& pools() const { return m_pools; }
    /// Returns nullptr for a pool without workers.
    [[nodiscard]] const pool_total* pool(const std::string& name) const;

private:
    std::size_t pool_index(const std::string& name);

    std::deque<candidate> m_candidates;
    std::unordered_map<base::worker_id, candidate*> m_by_id;
    std::vector<pool_total> m_pools;
};

} // namespace lovagebeam::jobs
