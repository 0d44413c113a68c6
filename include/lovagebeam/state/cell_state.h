#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/state/command.h"
#include "lovagebeam/state/model.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::state {

/// Bounds of the state. They must be the same on every member, or the replicas diverge.
struct state_limits {
    /// Entries of the audit trail; the oldest are dropped past this count. 21,000 changes a day
    /// leave more than two days of history.
    std::size_t max_audit_entries = 50'000;
    /// How long the answer to an operator's command is kept for a resend.
    milliseconds operation_retention{std::chrono::hours{24}};
    /// Largest command in bytes.
    std::size_t max_command_bytes = std::size_t{1} << 20U;
    /// Largest output of a task in bytes.
    std::size_t max_output_bytes = std::size_t{64} << 10U;
    /// Tasks of one job.
    std::uint32_t max_tasks_per_job = 20'000;
    /// Entries that one expire_entries command removes when it names no limit, and at most.
    std::uint32_t default_expire_count = 1'000;
    std::uint32_t max_expire_count = 10'000;
};

struct cell_data;

} // namespace lovagebeam::state

namespace lovagebeam::jobs {

class ledger;

} // namespace lovagebeam::jobs

namespace lovagebeam::state {

/// The replicated state machine of the cell. It has no I/O and no clock: the same commands at the
/// same indices give the same state, results and digest on every replica. Not thread-safe; the
/// decisions thread owns it. Pointers and references that queries return stay valid until the next
/// call that is not const.
class cell_state {
public:
    explicit cell_state(state_limits limits = {});
    ~cell_state();
    cell_state(cell_state&&) noexcept;
    cell_state& operator=(cell_state&&) noexcept;
    cell_state(const cell_state&) = delete;
    cell_state& operator=(const cell_state&) = delete;

    /// Applies the command in `bytes` at `index`, which must be greater than every earlier index.
    /// Never throws. A command that is malformed, unknown or refused gives a typed error and
    /// leaves the state as it was, apart from the record of an operator's refused operation.
    /// `state_diverged` means that this replica must stop: its index went back or it ran out of
    /// memory in the middle of a command.
    apply_result apply(std::uint64_t index, std::string_view bytes) noexcept;

    /// The index of the last command that was applied; 0 at the start.
    [[nodiscard]] std::uint64_t applied_index() const;

    /// A hash of the whole content without the index. Constant time: it is kept up to date by
    /// `apply`. Equal digests at one index mean equal states up to accidental collision.
    [[nodiscard]] std::uint64_t digest() const;

    /// The state with its index, as bytes with a checksum.
    [[nodiscard]] std::string encode_snapshot() const;

    /// Reads the bytes of `encode_snapshot`. Returns `snapshot_corrupt` when a byte is missing or
    /// changed, or the content does not give the digest that was stored with it.
    static absl::StatusOr<cell_state> decode_snapshot(std::string_view bytes,
                                                      state_limits limits = {});

    /// Jobs of several steps, their workers and the configuration document of their queues.
    /// Valid as long as this object, also across `apply`.
    [[nodiscard]] const jobs::ledger& job_ledger() const;

    /// Configuration.
    [[nodiscard]] const configuration& config() const;
    [[nodiscard]] base::config_version version() const;
    [[nodiscard]] effective_settings settings_for(const settings_scope& scope) const;
    /// Whether the queue is taken without a key. Its work belongs to the team `queue:<name>`.
    [[nodiscard]] bool is_queue_open(std::string_view queue) const;

    /// Teams and keys, in order of their ids.
    [[nodiscard]] std::vector<team_summary> teams() const;
    [[nodiscard]] bool has_team(const base::team_id& team) const;
    [[nodiscard]] const team_key* find_key(const base::key_id& id) const;
    [[nodiscard]] std::vector<team_key> keys() const;

    /// Membership.
    [[nodiscard]] base::epoch epoch() const;
    [[nodiscard]] const std::vector<member>& members() const;

    /// Targets and workers.
    [[nodiscard]] const target* find_target(const base::target_id& id) const;
    [[nodiscard]] const worker* find_worker(const base::worker_id& id) const;
    void for_each_target(const std::function<void(const target&)>& visit) const;
    void for_each_worker(const std::function<void(const worker&)>& visit) const;

    /// Jobs, tasks and placements. A placement is a task whose state is placed or running.
    [[nodiscard]] const job* find_job(const base::job_id& id) const;
    [[nodiscard]] const job* find_job(const base::team_id& team,
                                      const base::idempotency_key& key) const;
    [[nodiscard]] const task* find_task(const base::task_id& id) const;
    [[nodiscard]] std::size_t job_count() const;
    [[nodiscard]] std::size_t task_count() const;
    void for_each_job(const std::function<void(const job&)>& visit) const;
    void for_each_task(const base::job_id& id, const std::function<void(const task&)>& visit) const;
    [[nodiscard]] std::vector<const task*> placements_on(const base::worker_id& id) const;
    [[nodiscard]] worker_usage usage_of(const base::worker_id& id) const;

    /// Work that may not be repeated, and results.
    [[nodiscard]] const intent* find_intent(const base::team_id& team,
                                            const base::idempotency_key& key) const;
    [[nodiscard]] std::vector<intent> open_intents() const;
    /// Also the resolved ones, until they expire.
    void for_each_intent(const std::function<void(const intent&)>& visit) const;
    [[nodiscard]] const result_record* find_result(const base::team_id& team,
                                                   const base::idempotency_key& key) const;

    /// The answer that an operator's operation got, or nothing if it is not on record.
    [[nodiscard]] std::optional<apply_result>
    find_operation(const base::operation_id& operation) const;

    /// At most `limit` entries of the audit trail with a sequence number of at least `from`,
    /// oldest first.
    [[nodiscard]] std::vector<audit_entry> audit(std::uint64_t from, std::size_t limit) const;

    /// The expiry date of the next entry that expire_entries removes, or nothing.
    [[nodiscard]] std::optional<base::wall_time> next_expiry() const;

private:
    explicit cell_state(std::unique_ptr<cell_data> data);

    std::unique_ptr<cell_data> m_data;
};

} // namespace lovagebeam::state
