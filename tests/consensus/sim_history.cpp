#include "sim_history.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace lovagebeam::consensus::test {

namespace {

/// Returns the position in the linear order: 2n+1 for the append of the value at index n, 2n for a
/// read of n values, -1 for an append without effect.
std::int64_t position_of(const operation& operation, const std::vector<std::uint64_t>& list)
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

struct ordered_operation {
    const operation* source;
    std::int64_t position;
};

void check_key(std::vector<ordered_operation> ordered_operations)
{
    std::vector<ordered_operation> by_return = ordered_operations;
    std::sort(by_return.begin(), by_return.end(),
              [](const ordered_operation& a, const ordered_operation& b) {
                  return a.source->returned < b.source->returned;
              });
    std::sort(ordered_operations.begin(), ordered_operations.end(),
              [](const ordered_operation& a, const ordered_operation& b) {
                  return a.source->invoked < b.source->invoked;
              });
    std::int64_t highest_returned = -1;
    std::size_t next = 0;
    for (const ordered_operation& current : ordered_operations) {
        while (next < by_return.size() &&
               by_return[next].source->returned < current.source->invoked) {
            highest_returned = std::max(highest_returned, by_return[next++].position);
        }
        if (current.position < highest_returned) {
            throw violation(
                absl::StrCat(current.source->by_lease ? "stale lease read" : "linearizability",
                             ": operation on ", current.source->key, " at ",
                             current.source->invoked, " us has position ", current.position,
                             " after position ", highest_returned, " had returned"));
        }
    }
}

} // namespace

void check_linearizable(const std::vector<operation>& operations, const lists& final_lists)
{
    static const std::vector<std::uint64_t> empty;
    std::map<std::uint64_t, std::vector<ordered_operation>> keys;
    for (const operation& operation : operations) {
        if (operation.state == operation_state::failed ||
            (operation.is_read && operation.state != operation_state::done)) {
            continue;
        }
        const auto it = final_lists.find(operation.key);
        const std::int64_t position =
            position_of(operation, it == final_lists.end() ? empty : it->second);
        if (position >= 0) {
            keys[operation.key].push_back({&operation, position});
        }
    }
    for (auto& [key, ordered_operations] : keys) {
        check_key(std::move(ordered_operations));
    }
}

} // namespace lovagebeam::consensus::test
