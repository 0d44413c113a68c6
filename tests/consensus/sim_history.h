#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace lovagebeam::consensus::test {

using sim_time = std::int64_t; ///< Microseconds of true time.
constexpr sim_time never = std::numeric_limits<sim_time>::max();

/// Thrown when an invariant is violated; the message names the invariant and the values.
class violation : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

enum class operation_state : std::uint8_t { running, done, failed, unknown };

/// One client operation on one key: append a unique value, or read the whole list.
struct operation {
    bool is_read = false;
    std::uint64_t key = 0;
    std::uint64_t value = 0;
    sim_time invoked = 0;
    sim_time returned = never;
    operation_state state = operation_state::running;
    bool by_lease = false;
    std::vector<std::uint64_t> result;
};

using lists = std::map<std::uint64_t, std::vector<std::uint64_t>>;

/// Checks that the operations are linearizable, given the final list of each key. The list
/// determines the order of the appends, and a read has exactly one possible position between two
/// appends, so it suffices that no operation is positioned before one that had returned earlier.
/// Throws `violation`.
void check_linearizable(const std::vector<operation>& operations, const lists& final_lists);

} // namespace lovagebeam::consensus::test
