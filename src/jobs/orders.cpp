#include "lovagebeam/jobs/orders.h"

#include <algorithm>
#include <array>

namespace lovagebeam::jobs {
namespace {

template <class Enum>
struct named {
    Enum value;
    std::string_view name;
};

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
    named<hold_outcome>{hold_outcome::unknown, "unknown"},
};

} // namespace

std::string_view name_of(start_outcome outcome)
{
    return std::ranges::find(start_outcomes, outcome, &named<start_outcome>::value)->name;
}

std::string_view name_of(hold_outcome outcome)
{
    return std::ranges::find(hold_outcomes, outcome, &named<hold_outcome>::value)->name;
}

} // namespace lovagebeam::jobs
