#pragma once

#include "lovagebeam/base/types.h"

#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace lovagebeam::routing {

/// Due times of keys. A timer is not cancelled: its receiver finds out that nothing is left to do.
template <class Key>
class timer_queue {
public:
    void add(base::time_point at, Key key) { m_heap.push(item{at, m_next++, std::move(key)}); }

    /// Removes and returns the earliest key that is due, in the order of addition among equals.
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
