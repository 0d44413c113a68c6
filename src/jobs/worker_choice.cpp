#include "worker_choice.h"

#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/scheduling/worker_speeds.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>

namespace lovagebeam::jobs {
namespace {

constexpr std::size_t class_count = 3;
/// A task takes up to 1.9 times as long as its caller estimates.
constexpr double estimate_margin = 2;
/// The classes that a gang may be confined to, in the order of preference. Workers of one class
/// waste no time waiting for each other; a gang in two classes is as slow as in the slower one, so
/// that one alone comes first.
constexpr std::array<std::array<bool, class_count>, 5> gang_classes{{
    {false, false, true},
    {false, true, false},
    {false, true, true},
    {true, false, false},
    {true, true, true},
}};

std::size_t class_index(double speed)
{
    return static_cast<std::size_t>(scheduling::class_of(speed));
}

/// Number of tasks of the step that fit on the worker, up to `most`.
std::size_t room_on(const step_spec& step, const size& free, std::size_t most)
{
    const auto booked = booked_size(step);
    auto count = static_cast<std::int64_t>(most);
    const auto limit = [&](std::int64_t available, std::int64_t needed) {
        if (needed > 0) {
            count = std::min(count, std::max<std::int64_t>(available, 0) / needed);
        }
    };
    limit(free.millicores, booked.millicores);
    limit(free.memory_mb, booked.memory_mb);
    limit(free.accelerators, booked.accelerators);
    limit(step.max_per_worker, step.max_per_worker > 0 ? 1 : 0);
    return static_cast<std::size_t>(count);
}

} // namespace

// Later steps depend on earlier ones only, so one pass from the end finds the longest chains.
milliseconds remaining_chain(const job_spec& job, std::uint32_t step)
{
    std::vector<milliseconds> after(job.steps.size(), milliseconds{0});
    for (std::size_t later = job.steps.size(); later-- > step;) {
        const auto whole = after[later] + job.steps[later].estimate;
        if (later == step) {
            return whole;
        }
        for (const auto earlier : job.steps[later].depends_on) {
            after[earlier] = std::max(after[earlier], whole);
        }
    }
    return milliseconds{0};
}

double needed_speed(milliseconds remaining, milliseconds left)
{
    if (left <= milliseconds{0}) {
        return std::numeric_limits<double>::infinity();
    }
    return estimate_margin * static_cast<double>(remaining.count()) /
           static_cast<double>(left.count());
}

int preference(double speed, double needed)
{
    const auto index = static_cast<int>(class_index(speed));
    constexpr auto last = static_cast<int>(class_count) - 1;
    return speed >= needed ? index : last + 1 + (last - index);
}

std::vector<candidate_list::candidate*>
select_for_gang(const step_spec& step, const std::vector<candidate_list::candidate*>& eligible,
                std::size_t tasks, const std::set<base::worker_id>* avoided)
{
    std::array<std::size_t, class_count> room{};
    for (const auto* const one : eligible) {
        if (avoided == nullptr || !avoided->contains(one->info->id)) {
            auto& of_class = room.at(class_index(one->speed));
            of_class += of_class < tasks ? room_on(step, one->free, tasks) : 0;
        }
    }
    for (const auto& allowed : gang_classes) {
        std::size_t total = 0;
        for (std::size_t index = 0; index < class_count; ++index) {
            total += allowed.at(index) ? room.at(index) : 0;
        }
        if (total >= tasks) {
            std::vector<candidate_list::candidate*> out;
            std::ranges::copy_if(eligible, std::back_inserter(out), [&](const auto* one) {
                return allowed.at(class_index(one->speed));
            });
            return out;
        }
    }
    return eligible;
}

} // namespace lovagebeam::jobs
