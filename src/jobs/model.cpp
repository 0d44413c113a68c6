#include "lovagebeam/jobs/model.h"

#include "name_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace lovagebeam::jobs {
namespace {

constexpr std::array job_states{
    named<job_state>{job_state::queued, "queued"},
    named<job_state>{job_state::running, "running"},
    named<job_state>{job_state::completed, "completed"},
    named<job_state>{job_state::failed, "failed"},
    named<job_state>{job_state::cancelled, "cancelled"},
};

constexpr std::array end_kinds{
    named<end_kind>{end_kind::done, "done"},
    named<end_kind>{end_kind::failed, "failed"},
    named<end_kind>{end_kind::stopped, "stopped"},
    named<end_kind>{end_kind::lapsed, "lapsed"},
    named<end_kind>{end_kind::broken, "broken"},
    named<end_kind>{end_kind::alone, "alone"},
    named<end_kind>{end_kind::lost, "lost"},
    named<end_kind>{end_kind::not_started, "not_started"},
    named<end_kind>{end_kind::crashed, "crashed"},
};

} // namespace

std::string format_job_id(job_number id)
{
    return absl::StrCat(absl::Hex(id.value(), absl::kZeroPad16));
}

size& size::operator+=(const size& other)
{
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

size& size::operator-=(const size& other)
{
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

bool size::fits_in(const size& limit) const
{
    return millicores <= limit.millicores && memory_mb <= limit.memory_mb &&
           accelerators <= limit.accelerators;
}

base::wall_time job_spec::due(std::uint32_t occurrence) const
{
    return occurrences == 0 ? base::wall_time{} : start + interval * occurrence;
}

std::string_view name_of(job_state state)
{
    return name_in(job_states, state);
}

std::string_view name_of(end_kind kind)
{
    return name_in(end_kinds, kind);
}

std::optional<end_kind> end_kind_from_name(std::string_view name)
{
    const auto* const found = std::ranges::find(end_kinds, name, &named<end_kind>::name);
    return found == end_kinds.end() ? std::nullopt : std::optional{found->value};
}

const queue_settings* catalog::find_queue(std::string_view host, std::string_view path) const
{
    const queue_settings* best = nullptr;
    for (const auto& queue : queues) {
        if (queue.host == host && path.starts_with(queue.path_prefix) &&
            (best == nullptr || best->path_prefix.size() < queue.path_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const queue_settings* catalog::queue_named(std::string_view name) const
{
    const auto found = std::ranges::find(queues, name, &queue_settings::name);
    return found == queues.end() ? nullptr : &*found;
}

} // namespace lovagebeam::jobs
