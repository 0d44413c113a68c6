#pragma once

#include "lovagebeam/base/types.h"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lovagebeam::jobs {

/// Whether tasks may start on the workers of a failure domain, and who decided that.
struct evacuation_record {
    bool is_in_force = false;   ///< no task may be started in the domain
    std::uint64_t revision = 0; ///< incremented by each change; 0 for a domain without a record
    base::wall_time changed;
    std::string who;
    std::string why;

    friend bool operator==(const evacuation_record&, const evacuation_record&) = default;
};

/// Number of domains that may be evacuated at a time. Bounds what each heartbeat is compared with.
inline constexpr std::size_t max_evacuated_domains = 256;
/// Number of records of withdrawn evacuations that are retained. Those of the oldest changes are
/// removed first.
inline constexpr std::size_t max_withdrawn_evacuations = 1'024;
inline constexpr std::size_t max_domain_name_bytes = 64;
/// Longest `who` and `why` of an order.
inline constexpr std::size_t max_evacuation_note_bytes = 512;

/// Fails with `invalid_request` unless `name` is a valid name of a failure domain in an order: 1 to
/// 64 letters, digits, `-`, `_` and `.`.
absl::Status check_domain_name(std::string_view name);

} // namespace lovagebeam::jobs
