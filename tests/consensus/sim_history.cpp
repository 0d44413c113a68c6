#include "sim_history.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::consensus::test {

namespace {

/// Returns the place in the order: 2n+1 for the append of the n-th value, 2n for a read of n
/// values; nothing (-1) for an append without effect.
std::int64_t place_of(const operation& operation, const std::vector<std::uint64_t>& list)
{
    if (operation.is_read) {
        if (operation.result.size() > list.size() ||
            !std::equal(operation.result.begin(), operation.result.end(), list.begin())) {
            throw violation(absl::StrCat("linearizability: read of key ", operation.key, " at ",
                                         operation.invoked, " us isn't a prefix of the list"));
        }
        return 2 * static_cast<std::int64_t>(operation.result.size());
    }
    const auto it = std::find(list.begin(), list.end(), operation.value);
    if (it != list.end()) {
        return 2 * (it - list.begin()) + 1;
    }
    if (operation.state == operation_state::done) {
        throw violation(absl::StrCat("acknowledged entry lost: value ", operation.value, " of key ",
                                     operation.key));
    }
    return -1;
}

struct placed {
    const operation* what;
    std::int64_t place;
};

void check_key(std::vector<placed> placed_operations)
{
    std::vector<placed> by_return = placed_operations;
    std::sort(by_return.begin(), by_return.end(),
              [](const placed& a, const placed& b) { return a.what->returned < b.what->returned; });
    std::sort(placed_operations.begin(), placed_operations.end(),
              [](const placed& a, const placed& b) { return a.what->invoked < b.what->invoked; });
    std::int64_t reached = -1;
    std::size_t next = 0;
    for (const placed& current : placed_operations) {
        while (next < by_return.size() && by_return[next].what->returned < current.what->invoked) {
            reached = std::max(reached, by_return[next++].place);
        }
        if (current.place < reached) {
            throw violation(absl::StrCat(
                current.what->by_lease ? "stale lease read" : "linearizability", ": operation on ",
                current.what->key, " at ", current.what->invoked, " us has place ", current.place,
                " after place ", reached, " had returned"));
        }
    }
}

} // namespace

void check_linearizable(const std::vector<operation>& operations, const lists& final_lists)
{
    static const std::vector<std::uint64_t> empty;
    std::map<std::uint64_t, std::vector<placed>> keys;
    for (const operation& operation : operations) {
        if (operation.state == operation_state::failed ||
            (operation.is_read && operation.state != operation_state::done)) {
            continue;
        }
        const auto it = final_lists.find(operation.key);
        const std::int64_t place =
            place_of(operation, it == final_lists.end() ? empty : it->second);
        if (place >= 0) {
            keys[operation.key].push_back({&operation, place});
        }
    }
    for (auto& [key, placed_operations] : keys) {
        check_key(std::move(placed_operations));
    }
}

} // namespace lovagebeam::consensus::test
