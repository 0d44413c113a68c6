#pragma once

#include <string_view>

namespace lovagebeam::routing {

/// Aborts the process with a key=value line on stderr. Continuing after a violated invariant could
/// run work twice or exceed a limit, whereas a restart cannot.
[[noreturn]] void invariant_broken(std::string_view name, std::string_view subject);

/// Aborts unless `holds`, in every build type. `subject` names the target, team or attempt.
inline void check_invariant(bool holds, std::string_view name, std::string_view subject)
{
    if (!holds) [[unlikely]] {
        invariant_broken(name, subject);
    }
}

} // namespace lovagebeam::routing
