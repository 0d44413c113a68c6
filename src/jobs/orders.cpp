#include "lovagebeam/jobs/orders.h"

#include "name_table.h"

#include <algorithm>
#include <array>

namespace lovagebeam::jobs {
namespace {

constexpr std::array start_outcomes{
    named<start_outcome>{start_outcome::started, "started"},
    named<start_outcome>{start_outcome::no_room, "no_room"},
    named<start_outcome>{start_outcome::too_late, "too_late"},
    named<start_outcome>{start_outcome::no_ticket, "no_ticket"},
    named<start_outcome>{start_outcome::fenced, "fenced"},
    named<start_outcome>{start_outcome::superseded, "superseded"},
    named<start_outcome>{start_outcome::refused, "refused"},
    named<start_outcome>{start_outcome::gone, "gone"},
    named<start_outcome>{start_outcome::unknown, "unknown"},
};

constexpr std::array hold_outcomes{
    named<hold_outcome>{hold_outcome::answered, "answered"},
    named<hold_outcome>{hold_outcome::fenced, "fenced"},
    named<hold_outcome>{hold_outcome::gone, "gone"},
    named<hold_outcome>{hold_outcome::refused, "refused"},
    named<hold_outcome>{hold_outcome::unknown, "unknown"},
    named<hold_outcome>{hold_outcome::closed, "closed"},
};

} // namespace

std::string_view name_of(start_outcome outcome)
{
    return name_in(start_outcomes, outcome);
}

std::string_view name_of(hold_outcome outcome)
{
    return name_in(hold_outcomes, outcome);
}

} // namespace lovagebeam::jobs
