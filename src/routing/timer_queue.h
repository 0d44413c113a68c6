#pragma once

#include "lovagebeam/base/types.h"

#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace lovagebeam::routing {

/// Priority queue of timers, each with a due time and a key. Timers cannot be cancelled; the
/// receiver of an expired timer checks whether work is left.
template <class Key>
class timer_queue {
public:
    void add(base::time_point at, Key key) { m_heap.push(item{at, m_next++, std::move(key)}); }

    /// Removes and returns the key of the earliest timer that is due; timers that are due at the
    /// same time are returned in the order of insertion.
    std::optional<Key> pop_due(base::time_point now)
    {
        if (m_heap.empty() || m_heap.top().at > now) {
            return std::nullopt;
        }
        Key key = m_heap.top().key;
        m_heap.pop();
        return key;
    }

private:
    struct item {
        base::time_point at;
        std::uint64_t number;
        Key key;

        bool operator>(const item& other) const
        {
            return std::tie(at, number) > std::tie(other.at, other.number);
        }
    };

    std::priority_queue<item, std::vector<item>, std::greater<>> m_heap;
    std::uint64_t m_next = 0;
};

} // namespace lovagebeam::routing
