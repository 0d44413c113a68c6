#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/state/cell_state.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace lovagebeam::state {

/// A new team key. `text` is `lb.<key id>.<64 hex digits>` and is shown to the operator only; the
/// state stores `salt` and `hash`.
struct new_key {
    base::key_id id;
    std::string text;
    std::string salt;
    std::string hash;
};

/// Makes a key from the operating system's random numbers. Thread-safe.
new_key generate_key();

/// Encrypts `text` under the cluster secret, so that the answer to a resent give_key command can
/// be the same. Thread-safe.
std::string seal_key(std::string_view cluster_secret, std::string_view text);

/// Reverses `seal_key`. Returns `unauthenticated` when the secret is another one or the bytes are
/// damaged. Thread-safe.
absl::StatusOr<std::string> open_key(std::string_view cluster_secret, std::string_view sealed);

/// Checks team keys against the local copy of the state, without a remote call. Owned by the thread
/// that owns `cell`, which must outlive it; the state may be replaced by move assignment.
class key_verifier {
public:
    explicit key_verifier(const cell_state& cell, base::duration max_age = std::chrono::seconds{5});

    /// Notes that the state held, at the local time `at`, everything that was committed by then:
    /// `at` is when the request was sent whose answer carried the leader's commit index, once the
    /// state has applied up to it. An earlier time than before is ignored.
    void confirm(base::time_point at);

    /// Returns the team of the key with the text `text`. Errors: `stale_key_state` when the state
    /// was not confirmed within the maximum age before `now`, `unauthenticated` when the key is
    /// malformed, unknown, withdrawn or wrong. The secret is compared in constant time.
    [[nodiscard]] absl::StatusOr<base::team_id> verify(base::time_point now,
                                                       std::string_view text) const;

    /// Like `verify`, and `unauthenticated` when the key belongs to another team than `team`.
    [[nodiscard]] absl::Status verify_team(base::time_point now, std::string_view text,
                                           const base::team_id& team) const;

    /// The id within the key's text, or nothing when it is malformed. The key is not checked.
    static std::optional<base::key_id> id_of(std::string_view text);

private:
    const cell_state& m_cell;
    base::duration m_max_age;
    std::optional<base::time_point> m_confirmed;
};

} // namespace lovagebeam::state
