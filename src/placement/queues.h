#pragma once

#include "model.h"

#include <vector>

namespace lovagebeam::placement::internal {

/// The waiting jobs of one team and kind whose tasks have nearly the same size. A size that fits
/// nowhere blocks only its own queue, and checking the first job decides for the whole queue.
/// Entries of cancelled jobs stay until they reach the front, which makes cancelling O(1).
class size_queue {
public:
    struct entry {
        base::time_point order;
        std::uint64_t sequence = 0;
        slot job = no_slot;
    };

    size_queue() = default;
    size_queue(slot team, job_kind kind, std::uint64_t key) : m_team{team}, m_kind{kind}, m_key{key}
    {
    }

    void push(const entry& added);
    /// Removes the first entry.
    void pop();
    /// Counts one entry as stale without searching for it.
    void mark_stale() { ++m_stale; }
    [[nodiscard]] bool empty() const { return m_heap.size() == m_stale; }
    [[nodiscard]] std::size_t live() const { return m_heap.size() - m_stale; }

    /// Drops stale entries from the front and returns the first live one, or nullptr. `is_live`
    /// returns whether an entry is still valid.
    template <class IsLive>
    const entry* front(IsLive is_live)
    {
        if (m_stale > m_heap.size() / 2 && m_heap.size() > 64) {
            compact(is_live);
        }
        while (!m_heap.empty() && !is_live(m_heap.front())) {
            pop();
            --m_stale;
        }
        return m_heap.empty() ? nullptr : &m_heap.front();
    }

    [[nodiscard]] slot team() const { return m_team; }
    [[nodiscard]] job_kind kind() const { return m_kind; }
    [[nodiscard]] std::uint64_t key() const { return m_key; }

    /// Size of the first job when it was last examined.
    resources head_size;
    base::time_point head_order{};
    /// Set while the first job is known to fit on no worker.
    bool no_worker_fits = false;
    /// Set while the team's upper limit leaves no room for the first job.
    bool above_limit = false;
    base::time_point blocked_since = never;
    std::uint32_t team_position = no_slot; ///< position in the team's list of queues that hold jobs

private:
    template <class IsLive>
    void compact(IsLive is_live)
    {
        std::erase_if(m_heap, [&](const entry& e) { return !is_live(e); });
        m_stale = 0;
        rebuild();
    }
    void rebuild();

    slot m_team = no_slot;
    job_kind m_kind = job_kind::batch;
    std::uint64_t m_key = 0;
    std::vector<entry> m_heap;
    std::size_t m_stale = 0;
};

/// Key of the queue for a kind and size. Sizes within an eighth of a doubling share a queue.
[[nodiscard]] std::uint64_t queue_key(job_kind kind, const resources& size);

} // namespace lovagebeam::placement::internal
