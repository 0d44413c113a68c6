#include "lovagebeam/standin/timer_queue.h"

#include <utility>

namespace lovagebeam::standin {

timer_queue::timer_queue() : m_thread{[this] { run(); }} {}

timer_queue::~timer_queue()
{
    {
        const std::lock_guard lock{m_mutex};
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void timer_queue::run_at(base::time_point when, std::function<void()> task)
{
    {
        const std::lock_guard lock{m_mutex};
        m_tasks.emplace(when, std::move(task));
    }
    m_changed.notify_all();
}

void timer_queue::run()
{
    std::unique_lock lock{m_mutex};
    while (!m_stopping) {
        if (m_tasks.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const auto first = m_tasks.begin();
        if (first->first > std::chrono::steady_clock::now()) {
            m_changed.wait_until(lock, base::time_point{first->first});
            continue;
        }
        const auto task = std::move(first->second);
        m_tasks.erase(first);
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace lovagebeam::standin
