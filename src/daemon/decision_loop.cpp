#include "decision_loop.h"

#include <thread>
#include <utility>

namespace lovagebeam::daemon {
namespace {

constexpr std::size_t queue_capacity = 65'536;
constexpr std::size_t max_batch_size = 512;
constexpr std::chrono::milliseconds tick_interval{10};

} // namespace

decision_loop::decision_loop(clock now) : m_now{now}, m_queue{queue_capacity} {}

bool decision_loop::try_post(task&& work)
{
    return m_queue.try_push(std::move(work), queue_capacity / 2);
}

void decision_loop::post_completion(task work)
{
    // try_push moves from the item only on success.
    while (!m_queue.try_push(std::move(work))) { // NOLINT(bugprone-use-after-move)
        if (m_stopping) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::microseconds{100});
    }
}

void decision_loop::run(const handlers& callbacks)
{
    auto next_tick = std::chrono::steady_clock::now();
    while (!m_stopping) {
        run_batch(next_tick);
        const auto now = std::chrono::steady_clock::now();
        if (now >= next_tick) {
            callbacks.tick(m_now());
            next_tick = now + tick_interval;
        }
        callbacks.after_batch(m_now());
    }
}

void decision_loop::run_batch(base::time_point next_tick)
{
    auto next = m_queue.pop_until(next_tick);
    for (std::size_t count = 0; next && count < max_batch_size; ++count) {
        (*next)(m_now());
        next = count + 1 < max_batch_size ? m_queue.try_pop() : std::nullopt;
    }
}

void decision_loop::stop()
{
    m_stopping = true;
    m_queue.close();
}

} // namespace lovagebeam::daemon
