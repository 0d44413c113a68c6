#include "queues.h"

#include <algorithm>
#include <bit>

namespace lovagebeam::placement::internal {

namespace {

bool later(const size_queue::entry& left, const size_queue::entry& right)
{
    return left.order != right.order ? left.order > right.order : left.sequence > right.sequence;
}

std::uint64_t octave_eighth(std::int64_t amount)
{
    const auto value = static_cast<std::uint64_t>(std::max<std::int64_t>(amount, 0));
    if (value < 8) {
        return value;
    }
    const int octave = std::bit_width(value) - 1;
    return static_cast<std::uint64_t>(octave) * 8 + ((value >> (octave - 3)) & 7U);
}

} // namespace

void size_queue::push(const entry& added)
{
    m_heap.push_back(added);
    std::push_heap(m_heap.begin(), m_heap.end(), later);
}

void size_queue::pop()
{
    std::pop_heap(m_heap.begin(), m_heap.end(), later);
    m_heap.pop_back();
}

void size_queue::rebuild()
{
    std::make_heap(m_heap.begin(), m_heap.end(), later);
}

std::uint64_t queue_key(job_kind kind, const resources& size)
{
    return static_cast<std::uint64_t>(kind) << 60U | octave_eighth(size.cpu.value()) << 40U |
           octave_eighth(size.memory.value()) << 20U | octave_eighth(size.devices.value());
}

} // namespace lovagebeam::placement::internal
