#pragma once

#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/scheduling/account_shares.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lovagebeam::jobs {

/// The order in which ready steps are planned. It keeps the steps of each account sorted by what
/// doesn't change with the use of the fleet; a planning pass merges the accounts by the use of
/// their shares at that time. No I/O and no clock. Not thread-safe.
///
/// The next leader knows the order at once: it follows from the ledger and the configuration.
class step_order {
public:
    /// What doesn't depend on other accounts: unexpired steps first, then by priority, then
    /// restarts of long-running tasks, then steps that can still be in time, then by the end of the
    /// objective. The third value is false for restarts.
    using step_rank = std::tuple<bool, std::uint32_t, bool, bool, base::wall_time, step_key>;
    /// Steps with the size of one task.
    using ranked_steps = std::map<step_rank, size>;
    struct account_counts {
        std::size_t waiting_steps = 0;
        std::uint64_t jobs_beyond_rate = 0; ///< accepted under this leader
    };

    /// Takes over the weights of the configuration and counts the jobs of the ledger again. Steps
    /// that are in the order keep what they were ranked by; call it before the first is inserted,
    /// or insert them again after `clear`.
    void set_weights(const catalog& configured, const ledger& records);
    /// Whether the weights of the configuration are those in use.
    [[nodiscard]] bool has_weights_of(const catalog& configured) const;
    void clear();

    /// Counts a job that the ledger has just accepted. Call it before its steps are inserted; a job
    /// that was counted before isn't counted again. Returns the number of the account's jobs beyond
    /// its rate that have to be reported: 0 for most calls, so that a flood of jobs gives one
    /// report a second.
    std::uint64_t on_accepted(const job_record& job);
    /// To be called when none of the job's steps is in the order any more.
    void forget(job_number id);

    void insert(const std::string& account, const step_rank& rank, const size& task = {});
    void erase(const std::string& account, const step_rank& rank);
    /// Capacity that is reserved for steps of the account counts as used by it.
    void add_reserved(const std::string& account, const size& more);
    void remove_reserved(const std::string& account, const size& less);
    [[nodiscard]] std::int64_t reserved_millicores(const std::string& account) const;

    [[nodiscard]] const scheduling::account_shares& shares() const { return m_shares; }
    /// The largest number of a priority with steps that haven't expired; 0 if there are none.
    [[nodiscard]] std::uint32_t lowest_unexpired_priority() const;
    /// Of the accounts that had ready steps, or jobs beyond their rate.
    [[nodiscard]] std::map<std::string, account_counts> counts() const;

private:
    friend class planning_order;

    struct account_steps {
        ranked_steps owed;
        ranked_steps beyond_rate;
    };
    struct beyond_rate_count {
        std::uint64_t jobs = 0;
        std::uint64_t reported = 0;
        std::optional<base::wall_time> reported_at;
    };
    [[nodiscard]] ranked_steps& steps_of(const std::string& account, job_number job);

    scheduling::account_shares m_shares;
    std::optional<std::map<std::string, double>> m_weights; ///< as configured
    std::map<std::string, account_steps> m_accounts;        ///< those that had ready steps
    std::map<job_number, bool> m_jobs;                      ///< whether it is beyond the rate
    std::map<std::string, beyond_rate_count> m_beyond_rate;
    std::map<std::string, std::int64_t> m_reserved; ///< counted millicores, by account
};

/// Why no task of a step could be placed.
enum class obstacle {
    none,  ///< some could, or the step waits for something else than capacity
    share, ///< some could, and others are left to accounts that use less of their share
    no_capacity,
    account_limit,
};

/// How many steps of one priority a planning pass looks at in vain. The first quarter of each
/// number goes to the steps that come first, the rest to those that earlier passes have left out.
struct pass_limits {
    std::uint32_t unplaceable = 32; ///< divided among the accounts with such steps
    std::uint32_t at_limit = 32;    ///< for each account
    /// For each account, of the steps that are left out without a look since their tasks are too
    /// large.
    std::uint32_t too_large = 512;
};

/// Steps of one priority that are all expired or all unexpired are planned as one level.
using step_level = std::pair<bool, std::uint32_t>;

/// The first of the steps that the last planning pass left out, by account, whether the step is
/// beyond the account's rate, and level. The next pass goes on there, so that each step is looked
/// at within a number of passes that grows with the backlog.
using left_out_steps = std::map<std::tuple<std::string, bool, step_level>, step_order::step_rank>;

/// The state of the fleet for one planning pass.
struct pass_input {
    bool is_full = false;      ///< the use of shares counts
    std::int64_t capacity = 0; ///< in counted millicores
    /// Returns the counted millicores that an account uses, with what is planned for it.
    std::function<std::int64_t(const std::string&)> used;
    pass_limits limits;
    /// Returns the counted millicores of one task of a ready step. Without it they count as 0.
    std::function<std::int64_t(const step_key&)> task_use;
    /// Returns what the limit of an account leaves of each resource. Without it there are no
    /// limits.
    std::function<size(const std::string&)> limit_room;
    /// Of each resource, the most that a worker has free. A step that may make room for itself is
    /// looked at all the same.
    size largest_free = unlimited_size;
    /// Kept from pass to pass. Without it each pass looks at the first steps only.
    left_out_steps* left_out = nullptr;
};

/// One planning pass over a `step_order`, which must outlive it. Between two calls of `next` the
/// step that was returned may leave the order, but no other one may, and none may enter it.
///
/// While several accounts have ready steps, those that are owed come before others of the same
/// priority; while the fleet is full, accounts that use less of their share come first among steps
/// that are equal up to lateness. An account with too many steps that can't be placed is passed
/// over up to the next priority, so that it neither makes the pass long nor ends it for others. The
/// next passes look at the steps that were left out.
class planning_order {
public:
    planning_order(const step_order& order, pass_input input);

    static constexpr auto unlimited = std::numeric_limits<std::int64_t>::max();
    struct next_step {
        step_key key;
        /// Whether to plan the step even if it was looked at in vain a moment ago. Without this,
        /// capacity that becomes free between two looks goes to whichever account is looked at
        /// next.
        bool is_first_of_account = false;
        /// Whether the step's turn has come after others were left out.
        bool is_resumed = false;
        /// Counted millicores after which another account comes first with steps that are equal up
        /// to lateness.
        std::int64_t budget = unlimited;
    };
    std::optional<next_step> next();
    /// Reports the outcome for the step that `next` returned last, if it was planned. After
    /// `obstacle::share` the step comes again once it is its turn.
    void on_planned(obstacle outcome);
    /// Makes the use of shares count from now on.
    void set_full() { m_input.is_full = true; }
    [[nodiscard]] bool is_full() const { return m_input.is_full; }
    [[nodiscard]] bool is_shared() const { return m_accounts.size() > 1; }

    /// An account some of whose steps of a level the pass hasn't looked at, and how many others
    /// couldn't be placed.
    struct passed_over_account {
        std::string account;
        step_level level;
        std::uint32_t unplaceable = 0;
        std::uint32_t at_limit = 0;
        std::uint32_t too_large = 0;
    };
    /// Whether a further pass is needed to look at all steps.
    [[nodiscard]] bool has_left_out() const { return m_has_left_out; }
    [[nodiscard]] const std::vector<passed_over_account>& passed_over() const
    {
        return m_passed_over;
    }

private:
    /// Numbers of steps that couldn't be placed.
    struct vain_looks {
        std::uint32_t unplaceable = 0;
        std::uint32_t at_limit = 0;
        std::uint32_t too_large = 0;
    };
    struct account_state {
        const std::string* name = nullptr;
        vain_looks vain{};                  ///< at steps of the level
        std::optional<std::int64_t> used{}; ///< counted millicores, unless to be asked again
        std::optional<size> limit_room{};   ///< the same
    };
    /// The steps of an account that are owed, or those beyond its rate.
    struct step_stream {
        const step_order::ranked_steps* steps = nullptr;
        step_order::ranked_steps::const_iterator next;
        std::size_t account = 0;
        bool is_beyond_rate = false;
        vain_looks vain{}; ///< at steps of the level
        /// Steps beyond the rate get what the account's others leave, at least half.
        vain_looks limits{};
        bool has_resumed = false; ///< where the last pass left out steps of the level
        bool is_passed_over = false;
    };
    struct entry {
        step_level level;
        bool is_no_restart = false;
        bool is_beyond_rate = false;
        bool is_late = false;
        std::int64_t share_rank = 0;
        base::wall_time due_by;
        step_key key;
        std::size_t stream = 0;
        friend auto operator<=>(const entry&, const entry&) = default;
    };

    [[nodiscard]] entry entry_of(std::size_t index);
    [[nodiscard]] std::int64_t share_rank(account_state& account, const step_key& next) const;
    void push(std::size_t index);
    void begin_level(const step_level& next);
    /// The next pass goes on with the first steps where this one has looked at the last ones.
    void end_level();
    /// Moves the stream of the first entry past the steps that this pass doesn't look at. Returns
    /// whether there were any before the next one.
    bool advance_front();
    [[nodiscard]] left_out_steps::key_type key_of(const step_stream& from,
                                                  const step_level& level) const;
    /// Goes on with the steps that the last pass left out.
    void resume(step_stream& from, const step_level& level);
    void leave_out_large(step_stream& from, const step_level& level);
    void pass_over(step_stream& from, const step_level& level);
    [[nodiscard]] bool is_too_large(account_state& account, const step_level& level,
                                    const size& task) const;
    /// Returns what the account of `current` may use for it before that of the first other step
    /// comes first.
    [[nodiscard]] std::int64_t budget_of(const entry& current);

    pass_input m_input;
    const scheduling::account_shares& m_shares;
    scheduling::account_shares::division m_division;
    std::vector<account_state> m_accounts;
    std::vector<step_stream> m_streams;
    std::vector<entry> m_heap; ///< the first step of each stream, except of the one that is planned
    std::optional<std::size_t> m_planned; ///< stream of the step that `next` returned last
    step_order::step_rank m_planned_rank; ///< of that step
    std::optional<step_level> m_level;
    std::vector<passed_over_account> m_passed_over;
    bool m_has_left_out = false;
};

} // namespace lovagebeam::jobs
