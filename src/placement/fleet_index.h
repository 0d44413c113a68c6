#pragma once

#include "model.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <vector>

namespace lovagebeam::placement::internal {

/// Finds workers by free capacity. The workers of each failure domain are grouped into buckets by
/// free processors, four buckets per doubling, so that a search examines the tightest fits first
/// without scanning the fleet. If the first candidates lack memory or accelerators, an exhaustive
/// search over plain arrays of the free amounts is made.
class fleet_index {
public:
    /// Sets the free capacity of a worker: `free` without the headroom, `urgent_free` with it.
    /// Both are negative for a worker that gets no new work.
    void update(slot worker, slot domain, const resources& free, const resources& urgent_free);

    /// Returns the worker of `domain` with the lowest score among the tightest that fit, or
    /// no_slot. `score(worker, left)` may return a negative number to exclude a worker.
    template <class Score>
    [[nodiscard]] slot find_in_domain(slot domain, const resources& size, Score score) const;

    /// The same over all domains.
    template <class Score>
    [[nodiscard]] slot find(const resources& size, Score score) const;

    /// The same over the fleet for urgent work, which may use the headroom. Scans the plain arrays,
    /// since the buckets don't include the headroom.
    template <class Score>
    [[nodiscard]] slot find_urgent(const resources& size, Score score) const;

    [[nodiscard]] slot domains() const { return static_cast<slot>(m_domains.size()); }
    [[nodiscard]] resources free(slot worker) const
    {
        return {base::millicores{m_cpu[worker]}, base::bytes{m_memory[worker]},
                accelerators{m_devices[worker]}};
    }
    [[nodiscard]] resources urgent_free(slot worker) const
    {
        return free(worker) + resources{base::millicores{m_headroom[worker]}, {}, {}};
    }
    [[nodiscard]] slot size() const { return static_cast<slot>(m_cpu.size()); }
    [[nodiscard]] bool fits(slot worker, const resources& size) const
    {
        return m_cpu[worker] >= size.cpu.value() && m_memory[worker] >= size.memory.value() &&
               m_devices[worker] >= size.devices.value();
    }

private:
    static constexpr std::size_t buckets = 64;
    static constexpr std::uint8_t no_bucket = 255;
    /// Number of candidates after which a search returns the best one so far.
    static constexpr int max_candidates = 24;

    struct domain_buckets {
        std::array<std::vector<slot>, buckets> workers;
        std::uint64_t non_empty = 0;
        std::vector<slot> members;
    };

    static std::uint8_t bucket_of(std::int64_t cpu);
    void move_to(slot worker, std::uint8_t bucket);
    template <class Score>
    [[nodiscard]] slot find_exact(slot domain, const resources& size, Score score) const;

    std::vector<domain_buckets> m_domains;
    std::vector<std::int64_t> m_cpu;
    std::vector<std::int64_t> m_memory;
    std::vector<std::int64_t> m_devices;
    std::vector<std::int64_t> m_headroom;
    std::vector<slot> m_domain;
    std::vector<std::uint8_t> m_bucket;
    std::vector<std::uint32_t> m_position;
};

template <class Score>
slot fleet_index::find_exact(slot domain, const resources& size, Score score) const
{
    slot best = no_slot;
    double best_score = 0;
    for (const slot worker : m_domains[domain].members) {
        if (!fits(worker, size)) {
            continue;
        }
        const double value = score(worker, free(worker) - size);
        if (value >= 0 && (best == no_slot || value < best_score)) {
            best = worker;
            best_score = value;
        }
    }
    return best;
}

template <class Score>
slot fleet_index::find_in_domain(slot domain, const resources& size, Score score) const
{
    const domain_buckets& from = m_domains[domain];
    const std::uint8_t first = bucket_of(std::max<std::int64_t>(size.cpu.value(), 1));
    std::uint64_t left = from.non_empty & (~std::uint64_t{0} << first);
    slot best = no_slot;
    double best_score = 0;
    int examined = 0;
    while (left != 0 && (best == no_slot || examined < max_candidates)) {
        const int bucket = std::countr_zero(left);
        left &= left - 1;
        for (const slot worker : from.workers[static_cast<std::size_t>(bucket)]) {
            if (++examined > max_candidates * 2) {
                return best == no_slot ? find_exact(domain, size, score) : best;
            }
            if (!fits(worker, size)) {
                continue;
            }
            const double value = score(worker, free(worker) - size);
            if (value >= 0 && (best == no_slot || value < best_score)) {
                best = worker;
                best_score = value;
            }
        }
    }
    return best;
}

template <class Score>
slot fleet_index::find_urgent(const resources& size, Score score) const
{
    slot best = no_slot;
    double best_score = 0;
    int examined = 0;
    for (slot worker = 0; worker < this->size() && examined < max_candidates; ++worker) {
        if (m_cpu[worker] + m_headroom[worker] < size.cpu.value() ||
            m_memory[worker] < size.memory.value() || m_devices[worker] < size.devices.value()) {
            continue;
        }
        const double value = score(worker, urgent_free(worker) - size);
        if (value < 0) {
            continue;
        }
        ++examined;
        if (best == no_slot || value < best_score) {
            best = worker;
            best_score = value;
        }
    }
    return best;
}

template <class Score>
slot fleet_index::find(const resources& size, Score score) const
{
    slot best = no_slot;
    double best_score = 0;
    for (slot domain = 0; domain < domains(); ++domain) {
        const slot worker = find_in_domain(domain, size, score);
        if (worker == no_slot) {
            continue;
        }
        const double value = score(worker, free(worker) - size);
        if (best == no_slot || value < best_score) {
            best = worker;
            best_score = value;
        }
    }
    return best;
}

} // namespace lovagebeam::placement::internal
