#pragma once

#include "lovagebeam/base/types.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace lovagebeam::standin {

/// Runs functions at given times on its own thread. Thread-safe.
class timer_queue {
public:
    timer_queue();
    /// Drops the functions that aren't due yet and stops the thread.
    ~timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    void run_at(base::time_point when, std::function<void()> task);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<base::time_point, std::function<void()>> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace lovagebeam::standin
