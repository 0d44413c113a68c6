#include "fleet_index.h"

namespace lovagebeam::placement::internal {

std::uint8_t fleet_index::bucket_of(std::int64_t cpu)
{
    const auto value = static_cast<std::uint64_t>(cpu);
    const int octave = std::bit_width(value) - 1;
    const std::uint64_t quarter = octave >= 2 ? (value >> (octave - 2)) & 3U : 0;
    const std::uint64_t bucket = static_cast<std::uint64_t>(octave) * 4 + quarter;
    // Amounts below 16 millicores share the first bucket; amounts above 2^20 share the last.
    return static_cast<std::uint8_t>(std::clamp<std::uint64_t>(bucket, 16, 79) - 16);
}

void fleet_index::move_to(slot worker, std::uint8_t bucket)
{
    domain_buckets& domain = m_domains[m_domain[worker]];
    if (m_bucket[worker] == bucket) {
        return;
    }
    if (m_bucket[worker] != no_bucket) {
        auto& from = domain.workers[m_bucket[worker]];
        from[m_position[worker]] = from.back();
        m_position[from.back()] = m_position[worker];
        from.pop_back();
        if (from.empty()) {
            domain.non_empty &= ~(std::uint64_t{1} << m_bucket[worker]);
        }
    }
    m_bucket[worker] = bucket;
    if (bucket != no_bucket) {
        auto& to = domain.workers[bucket];
        m_position[worker] = static_cast<std::uint32_t>(to.size());
        to.push_back(worker);
        domain.non_empty |= std::uint64_t{1} << bucket;
    }
}

void fleet_index::update(slot worker, slot domain, const resources& free,
                         const resources& urgent_free)
{
    if (domain >= m_domains.size()) {
        m_domains.resize(domain + 1);
    }
    if (worker >= m_cpu.size()) {
        m_cpu.resize(worker + 1, -1);
        m_memory.resize(worker + 1, -1);
        m_devices.resize(worker + 1, -1);
        m_headroom.resize(worker + 1, 0);
        m_domain.resize(worker + 1, no_slot);
        m_bucket.resize(worker + 1, no_bucket);
        m_position.resize(worker + 1, 0);
    }
    if (m_domain[worker] != domain) {
        if (m_domain[worker] != no_slot) {
            move_to(worker, no_bucket);
            std::erase(m_domains[m_domain[worker]].members, worker);
        }
        m_domain[worker] = domain;
        m_domains[domain].members.push_back(worker);
    }
    m_cpu[worker] = free.cpu.value();
    m_memory[worker] = free.memory.value();
    m_devices[worker] = free.devices.value();
    m_headroom[worker] = urgent_free.cpu.value() - free.cpu.value();
    move_to(worker, free.cpu.value() > 0 ? bucket_of(free.cpu.value()) : no_bucket);
}

} // namespace lovagebeam::placement::internal
