#include "lovagebeam/consensus/types.h"

#include <array>
#include <cstddef>

namespace lovagebeam::consensus {

std::string_view name_of(replica_role role)
{
    constexpr std::array<std::string_view, 5> names{"learner", "follower", "pre_candidate",
                                                    "candidate", "leader"};
    return names.at(static_cast<std::size_t>(role));
}

} // namespace lovagebeam::consensus
