#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace lovagebeam::base {

/// A first-in, first-out queue of fixed capacity between threads: any number of producers, one
/// consumer. A full ring rejects an item and leaves it with the producer; an accepted item is
/// never dropped.
template <class T>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : m_slots(capacity) {}

    /// Appends `item` and returns true, or returns false and leaves `item` as it is when the ring
    /// is closed or has no more than `reserved` free slots; those slots remain available to
    /// producers that pass a smaller `reserved`.
    bool try_push(T&& item, std::size_t reserved = 0)
    {
        {
            const std::lock_guard lock{m_mutex};
            if (m_closed || m_size + reserved >= m_slots.size()) {
                return false;
            }
            m_slots[(m_head + m_size) % m_slots.size()].emplace(std::move(item));
            ++m_size;
        }
        m_not_empty.notify_one();
        return true;
    }

    /// Removes the oldest item, or returns nothing when the ring is empty.
    std::optional<T> try_pop()
    {
        const std::lock_guard lock{m_mutex};
        return pop_locked();
    }

    /// Waits until there is an item, the deadline has passed, or the ring is closed and empty.
    /// Returns nothing in the latter two cases.
    template <class Clock, class Duration>
    std::optional<T> pop_until(std::chrono::time_point<Clock, Duration> deadline)
    {
        std::unique_lock lock{m_mutex};
        m_not_empty.wait_until(lock, deadline, [this] { return m_size > 0 || m_closed; });
        return pop_locked();
    }

    /// Rejects further items. Items that were accepted can still be removed.
    void close()
    {
        {
            const std::lock_guard lock{m_mutex};
            m_closed = true;
        }
        m_not_empty.notify_all();
    }

    [[nodiscard]] bool is_closed() const
    {
        const std::lock_guard lock{m_mutex};
        return m_closed;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock{m_mutex};
        return m_size;
    }

    [[nodiscard]] std::size_t capacity() const { return m_slots.size(); }

private:
    std::optional<T> pop_locked()
    {
        if (m_size == 0) {
            return std::nullopt;
        }
        std::optional<T> item = std::exchange(m_slots[m_head], std::nullopt);
        m_head = (m_head + 1) % m_slots.size();
        --m_size;
        return item;
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_not_empty;
    std::vector<std::optional<T>> m_slots;
    std::size_t m_head = 0;
    std::size_t m_size = 0;
    bool m_closed = false;
};

} // namespace lovagebeam::base
