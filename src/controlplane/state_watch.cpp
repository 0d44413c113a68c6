#include "state_watch.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::controlplane {

bool state_watch::is_ending(const jobs::job_record& job)
{
    if (jobs::is_final(job.state) || job.spec.occurrences != 0) {
        return false;
    }
    for (std::uint32_t number = 0; number < job.spec.steps.size(); ++number) {
        const auto& step = job.step(0, number);
        const bool is_running = !job.spec.steps[number].long_running &&
                                std::ranges::all_of(step.tasks, [](const auto& task) {
                                    return task.done || task.placed;
                                });
        if (step.undone > 0 && !is_running) {
            return false;
        }
    }
    return true;
}

bool state_watch::wait(base::time_point now, jobs::job_number job, wake done)
{
    if (m_count >= max_waiting) {
        return false;
    }
    ++m_count;
    m_waiting[job].push_back({now + max_wait, std::move(done)});
    return true;
}

void state_watch::on_ended(jobs::job_number job)
{
    auto ended = m_waiting.extract(job);
    if (ended.empty()) {
        return;
    }
    m_count -= ended.mapped().size();
    for (const auto& request : ended.mapped()) {
        request.done(reason::ended);
    }
}

void state_watch::tick(base::time_point now)
{
    std::vector<wake> over;
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        auto& requests = entry->second;
        while (!requests.empty() && requests.front().until <= now) {
            over.push_back(std::move(requests.front().done));
            requests.erase(requests.begin());
        }
        entry = requests.empty() ? m_waiting.erase(entry) : std::next(entry);
    }
    m_count -= over.size();
    for (const auto& done : over) {
        done(reason::timed_out);
    }
}

void state_watch::stop_leading()
{
    const auto all = std::exchange(m_waiting, {});
    m_count = 0;
    for (const auto& [job, requests] : all) {
        for (const auto& request : requests) {
            request.done(reason::not_leading);
        }
    }
}

} // namespace lovagebeam::controlplane
