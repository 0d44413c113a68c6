#pragma once

#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/jobs/orders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lovagebeam::jobs {

struct worker_settings {
    /// Longest lease that a worker grants; it shortens a longer one.
    milliseconds max_lease{6'000};
    /// Part of the longest lease that holds ask for. The rest covers the error of the clock
    /// estimate.
    double lease_fraction = 0.9;
    /// How long a worker may wait for an end before it answers a hold.
    milliseconds hold_wait{1'000};
    /// A hold that failed is sent again after this time.
    milliseconds hold_retry{250};
    /// After so many refused connections in a row, each after `hold_retry`, the worker's process
    /// has ended. One alone may come from a process that is about to listen.
    std::uint32_t refusals_of_ended = 2;
    /// A worker gets starts while its last answer to a hold is at most this old: a hold's wait and
    /// a lost one.
    milliseconds contact_time{2'500};
    /// A worker that leaves a start unanswered for this long gets no further ones until it answers
    /// something: several times what a start call takes, and a fraction of what a lookup may take.
    milliseconds answer_time{250};
    /// Beyond this part of the workers the delay is on the way to them, so none is passed over.
    double doubted_fraction = 0.3;
    /// A start is refused by the worker after this time, so that one that is carried out late has
    /// no effect. Ten times what a start call takes on a busy system.
    milliseconds start_window{500};
    /// While a start is unanswered beyond its time, the worker's lists are read this often without
    /// waiting for the hold that is under way.
    milliseconds check_interval{150};
    /// A stop is repeated after this time while the run is still listed.
    milliseconds stop_retry{400};
    /// Bound on the drift of a worker's clock.
    double clock_drift = 0.02;
    /// Ends that wait for their commit don't hold back the next hold for longer than this.
    milliseconds commit_patience{500};
    /// A run whose progress stands still for this time is stopped and placed elsewhere.
    milliseconds stall_time{3'500};
    /// A member of a gang that is still listed this long after another one ended is stopped.
    milliseconds gang_end_time{1'000};
    /// Failed runs of distinct jobs without a successful one that put a worker into quarantine.
    std::uint32_t quarantine_jobs = 2;
    milliseconds quarantine_first{3'000};
    milliseconds quarantine_max{12'000};
    /// Largest part of the workers in quarantine at once.
    double quarantine_fraction = 0.3;
};

/// The leader's view of the workers: leases, what runs where, and which starts are in doubt. Turns
/// the answers of the workers into ends of runs. No I/O and no clock. Not thread-safe.
///
/// A placement ends in one of these ways only: the worker lists its end; the worker refused the
/// start; the worker's lists lack the run although no start can still take effect; another life of
/// the worker is seen; nothing listens at its address any more; or every lease on the worker has
/// lapsed without contact.
class worker_table {
public:
    struct end_report {
        run_key run;
        base::worker_id worker;
        end_kind how = end_kind::lost;
        std::string checkpoint;
    };
    /// The end rows of one worker up to `number` are to be committed with `ends`.
    struct cursor_move {
        base::worker_id worker;
        base::wall_time started_at;
        std::uint64_t number = 0;
    };
    struct output {
        std::vector<hold_order> holds;
        std::vector<stop_order> stops;
        std::vector<end_report> ends;
        std::vector<cursor_move> cursors;
        std::vector<decision_log_entry> log_entries;
    };

    /// Takes over the placements in `records`, which must outlive this object. An earlier leader
    /// may have extended leases until `now`.
    worker_table(worker_settings settings, const ledger& records, fencing_token token,
                 base::time_point now);

    /// A worker was added to the ledger or changed there.
    void on_worker(base::time_point now, const worker_info& info);
    void on_worker_removed(const base::worker_id& id);
    /// A worker told the time of its clock.
    void on_clock(base::time_point now, const base::worker_id& id, worker_time clock);

    /// Notes the start of a committed placement and returns its deadline, or nothing when the
    /// worker can't be reached any more; the placement is then settled by the lists of the worker.
    [[nodiscard]] std::optional<worker_time> on_start_sent(base::time_point now,
                                                           const run_key& run);
    void on_start_answer(base::time_point now, const run_key& run, const base::worker_id& worker,
                         start_outcome outcome);
    void on_stop_done(base::time_point now, const run_key& run, const base::worker_id& worker);
    /// `sent` is when `order` was sent.
    void on_hold_done(base::time_point now, base::time_point sent, const hold_order& order,
                      hold_outcome outcome, const hold_answer& answer);
    void on_cursor_committed(const cursor_move& move);
    /// The end of `run` is committed.
    void on_end_applied(const run_key& run, const base::worker_id& worker);

    /// Stops the run where it is placed, now and until it is no longer listed.
    void stop(base::time_point now, const run_key& run);

    void tick(base::time_point now);

    /// Whether the worker may get starts.
    [[nodiscard]] bool is_usable(base::time_point now, const base::worker_id& id) const;
    [[nodiscard]] bool is_quarantined(base::time_point now, const base::worker_id& id) const;
    /// The rows that the worker last listed as running; empty for an unknown worker.
    [[nodiscard]] const std::map<run_key, running_row>& running_on(const base::worker_id& id) const;
    [[nodiscard]] std::optional<worker_address> address_of(const base::worker_id& id) const;

    /// Returns and clears what the calls since the last one led to.
    output take();

private:
    struct sent_start {
        worker_time deadline{};
        std::optional<base::time_point> answered;
        std::optional<base::time_point> barred; ///< a stop was answered: it can't begin any more
    };
    struct progress {
        std::uint32_t percent = 0;
        base::time_point moved;
    };
    struct entry {
        worker_info info;
        bool is_removed = false;
        bool is_fenced = false; ///< answered a hold under this leader's token
        bool is_silent = false; ///< didn't answer the last hold
        /// When the first start was sent after the worker's last answer.
        std::optional<base::time_point> unanswered_since;
        std::uint32_t refusals = 0; ///< holds that found nothing listening, in a row
        std::optional<base::time_point> heard;
        base::time_point lease_end; ///< by then every lease on the worker has lapsed
        worker_time clock{};
        std::optional<base::time_point> clock_read;
        std::uint64_t cursor = 0; ///< ends up to this one are committed
        std::uint64_t listed = 0; ///< ends up to this one are reported
        bool is_holding = false;
        base::time_point check_sent; ///< the last hold beside the one under way
        base::time_point next_hold;
        std::map<run_key, sent_start> starts;
        /// Starts that were sent to an earlier life under the same id, which never listed them, and
        /// may reach this one; with the time at which a stop barred them.
        std::map<run_key, std::optional<base::time_point>> carried;
        std::map<run_key, running_row> running;
        std::map<run_key, progress> moved;
        std::map<run_key, base::time_point> stops; ///< when the last stop was sent
        std::map<run_key, end_kind> ending;        ///< reported, not yet committed
        std::map<job_number, base::time_point> failed_jobs;
        std::uint32_t quarantines = 0;
        base::time_point quarantined_until;
    };

    entry* find(const base::worker_id& id);
    [[nodiscard]] const entry* find(const base::worker_id& id) const;
    [[nodiscard]] worker_address address(const entry& worker) const;
    [[nodiscard]] worker_time clock_now(const entry& worker, base::time_point now) const;
    void extend(entry& worker, worker_time deadline);
    [[nodiscard]] bool is_doubted(const entry& worker, base::time_point now) const;
    /// Whether a start is overdue, so that the worker's lists should be read at once.
    [[nodiscard]] bool needs_check(const entry& worker, base::time_point now) const;
    hold_order make_hold(entry& worker, base::time_point now);
    void send_hold(entry& worker, base::time_point now);
    void send_check(entry& worker, base::time_point now);
    void send_stop(entry& worker, base::time_point now, const run_key& run);
    void report(entry& worker, const run_key& run, end_kind how, std::string checkpoint = {});
    void begin_life(entry& worker, base::time_point now, const worker_info& info);
    void end_placements(entry& worker, end_kind how);
    void end_process(entry& worker);
    void settle_other_life(entry& worker, base::time_point now, base::time_point sent,
                           const run_key& run);
    void read_finished(entry& worker, base::time_point now, const hold_answer& answer);
    void read_running(entry& worker, base::time_point now, const hold_answer& answer);
    void settle(entry& worker, base::time_point now, base::time_point sent,
                const hold_answer& answer);
    [[nodiscard]] bool is_wanted(const entry& worker, const run_key& run) const;
    void watch_progress(entry& worker, base::time_point now, const running_row& row);
    void judge(entry& worker, base::time_point now, const run_key& run, end_kind how);
    void strike(entry& worker, base::time_point now, job_number job);

    worker_settings m_settings;
    const ledger& m_ledger;
    fencing_token m_token;
    std::map<base::worker_id, entry> m_workers;
    std::size_t m_doubted = 0; ///< workers that leave a start unanswered
    output m_out;
};

} // namespace lovagebeam::jobs
