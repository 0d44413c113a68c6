#pragma once

#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/jobs/orders.h"
#include "lovagebeam/scheduling/progress_monitor.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovagebeam::jobs {

struct worker_settings {
    /// Longest lease that a worker grants; it shortens a longer one.
    milliseconds max_lease{6'000};
    /// Fraction of `max_lease` that holds request. The rest covers the error of the clock estimate.
    double lease_fraction = 0.9;
    /// How long a worker may wait for an end before it answers a hold.
    milliseconds hold_wait{1'000};
    /// A hold that failed is sent again after this time.
    milliseconds hold_retry{250};
    /// A hold whose connection the worker closed is sent again after this time.
    milliseconds closed_retry{50};
    /// After this many refused connections in a row the worker's process counts as ended, if it had
    /// closed the connection of a hold before. A single one may come from a process that is about
    /// to listen, and a network that resets connections refuses new ones too, while the worker runs
    /// on.
    std::uint32_t max_refused_connections = 2;
    /// A worker gets starts while its last answer to a hold is younger than this, which allows for
    /// the wait of a hold and one lost hold.
    milliseconds contact_timeout{2'500};
    /// A worker that leaves a start unanswered for this long gets no further ones until it answers
    /// a call. Several times the duration of a start call, and a fraction of the time that a lookup
    /// may take.
    milliseconds start_answer_timeout{250};
    /// If more than this fraction of the workers is unresponsive, the delay is attributed to the
    /// network, and none of them is excluded.
    double max_unresponsive_fraction = 0.3;
    /// A worker refuses a start after this time, so that one that arrives late has no effect. Ten
    /// times the duration of a start call on a busy system.
    milliseconds start_window{500};
    /// While a start is overdue, the worker's lists are read this often without waiting for the
    /// open hold.
    milliseconds check_interval{150};
    /// A start without an answer is doubted after this multiple of the mean duration of a start
    /// call, but not before `min_start_doubt`: the worker's lists are read, and a run that they
    /// lack is stopped, so that it can't begin any more and can be placed again.
    double start_doubt_factor = 5;
    milliseconds min_start_doubt{100};
    /// A stop is repeated after this time while the run is still listed.
    milliseconds stop_retry{400};
    /// Bound on the drift of a worker's clock.
    double clock_drift = 0.02;
    /// Longest time for which ends that aren't committed yet delay the next hold.
    milliseconds end_commit_timeout{500};
    /// A run without progress is stopped and placed elsewhere.
    scheduling::progress_settings progress;
    /// A member of a gang that is still listed this long after another one ended is stopped.
    milliseconds gang_end_timeout{1'000};
    /// Number of distinct jobs with failed runs, without a successful run in between, after which a
    /// worker is quarantined.
    std::uint32_t quarantine_jobs = 2;
    milliseconds quarantine_first{3'000};
    milliseconds quarantine_max{12'000};
    /// Largest fraction of the workers in quarantine at a time.
    double quarantine_fraction = 0.3;
    crash_settings crashes;
    /// The end of a silent worker's process says something about its runs if it was noticed within
    /// this time after the last contact. Allows for the holds that notice it.
    milliseconds crash_evidence_age{1'000};
};

/// The leader's view of the workers: leases, running tasks and unconfirmed starts. Derives the ends
/// of runs from the answers of the workers. No I/O and no clock. Not thread-safe.
///
/// A placement ends in one of these ways only: the worker lists its end; the worker refused the
/// start; the worker's lists lack the run although no start can still take effect; another instance
/// of the worker is seen; nothing listens at its address any more; or every lease on the worker has
/// expired without contact.
class worker_table {
public:
    struct end_report {
        run_key run;
        base::worker_id worker;
        end_kind how = end_kind::lost;
        std::string checkpoint;
        /// For `crashed`: time from the start to the end of the worker's process, if known.
        std::optional<milliseconds> ran;
        crash_verdict verdict = crash_verdict::unrelated;
        /// Time from the confirmed start to the listed end, if this leader has seen both and the
        /// run was neither resumed from a checkpoint nor away from the rack of its data.
        std::optional<base::duration> took = std::nullopt;
    };
    /// The ends of one worker up to `number` are committed once `ends` is.
    struct cursor_move {
        base::worker_id worker;
        base::wall_time started_at;
        std::uint64_t number = 0;
    };
    /// A worker confirmed that a run began.
    struct confirmed_start {
        run_key run;
        base::worker_id worker;
    };
    /// What is known of a run that a worker has confirmed.
    struct run_history {
        std::optional<base::time_point> started; ///< unless an earlier leader started it
        /// When a new checkpoint was first listed, up to `hold_wait` after it was taken. The first
        /// one of a run isn't noticed if it comes with the run's first listing.
        std::optional<base::time_point> checkpointed;
        std::uint32_t percent = 0; ///< when it was last listed
    };
    struct output {
        std::vector<hold_order> holds;
        std::vector<stop_order> stops;
        /// Starts of jobs of which the ledger has none yet; a run may be listed again.
        std::vector<confirmed_start> confirmed_starts;
        std::vector<end_report> ends;
        std::vector<cursor_move> cursors;
        /// Workers for which the result of `is_usable` changed.
        std::vector<base::worker_id> usability_changes;
        std::vector<decision_log_entry> log_entries;
    };

    /// Starts with the placements in `records`, which must outlive this object. An earlier leader
    /// may have extended leases until `now`. Orders carry tokens higher than `token`.
    worker_table(worker_settings settings, const ledger& records, fencing_token token,
                 base::time_point now);

    /// A worker was added to the ledger or changed there.
    void on_worker(base::time_point now, const worker_info& info);
    void on_worker_removed(const base::worker_id& id);
    /// A worker reported the time of its clock.
    void on_clock(base::time_point now, const base::worker_id& id, worker_time clock);

    /// Records the start of a committed placement and returns the order without its payload,
    /// checkpoint and ticket, or nothing when no start can be sent to the worker; the worker's
    /// lists then decide how the placement ends.
    [[nodiscard]] std::optional<start_order> make_start(base::time_point now, const run_key& run);
    /// Ends the placement of a run whose start wasn't sent.
    void withdraw_start(const run_key& run, const base::worker_id& worker);
    /// Placed runs for which this leader can't have sent a start.
    [[nodiscard]] const std::set<run_key>& unsent_runs() const { return m_unsent; }
    void on_start_answer(base::time_point now, const run_key& run, const base::worker_id& worker,
                         start_outcome outcome);
    void on_stop_done(base::time_point now, const run_key& run, const base::worker_id& worker);
    /// `sent` is when `order` was sent.
    void on_hold_done(base::time_point now, base::time_point sent, const hold_order& order,
                      hold_outcome outcome, const hold_answer& answer);
    void on_cursor_committed(const cursor_move& move);
    /// The end of `run` is committed.
    void on_end_applied(const run_key& run, const base::worker_id& worker);

    /// Stops the run on its worker, repeatedly until it is no longer listed.
    void stop(base::time_point now, const run_key& run);

    void tick(base::time_point now);

    /// Whether the worker may get starts.
    [[nodiscard]] bool is_usable(base::time_point now, const base::worker_id& id) const;
    [[nodiscard]] bool is_quarantined(base::time_point now, const base::worker_id& id) const;
    /// The runs that the worker last listed as running; empty for an unknown worker.
    [[nodiscard]] const std::map<run_key, running_row>& running_on(const base::worker_id& id) const;
    /// Returns nothing for a run that the worker hasn't confirmed.
    [[nodiscard]] std::optional<run_history> history_of(const base::worker_id& id,
                                                        const run_key& run) const;
    /// The highest token that an order of this leader may carry.
    [[nodiscard]] fencing_token last_token() const { return m_last_token; }
    /// Whether a start was sent to the worker less than `time` ago.
    [[nodiscard]] bool has_start_within(base::time_point now, const base::worker_id& id,
                                        base::duration time) const;
    /// How long the worker's process has been running; nothing for a worker that never answered.
    [[nodiscard]] std::optional<worker_time> uptime(base::time_point now,
                                                    const base::worker_id& id) const;

    /// Returns and clears the output since the last call.
    output take();

private:
    struct sent_start {
        worker_time deadline{};
        base::time_point sent_at;
        std::optional<base::time_point> answered_at;
        std::optional<base::time_point> stop_answered_at; ///< from then on the run can't begin
    };
    struct listed_checkpoint {
        std::string text;
        std::optional<base::time_point> changed_at;
    };
    /// What the end of a worker's process says about one run.
    struct run_crash {
        std::optional<milliseconds> ran;
        crash_verdict verdict = crash_verdict::suspected;
    };
    /// The end of a worker's process.
    struct process_end {
        bool was_leaving = false;             ///< the worker had announced it
        std::map<run_key, run_crash> crashes; ///< for runs that may have begun
    };
    struct entry {
        worker_info info;
        fencing_token token; ///< of orders to this worker
        bool is_removed = false;
        bool is_registered = true;    ///< the ledger has this instance, not an earlier one
        bool is_successor = false;    ///< of a known instance, and hasn't answered a hold yet
        bool is_fenced = false;       ///< answered a hold with `token`, so it refuses lower ones
        bool has_missed_hold = false; ///< didn't answer the last hold
        /// When the first start after the worker's last answer was sent.
        std::optional<base::time_point> unanswered_since;
        bool has_closed_connection = false;    ///< of a hold, after the last answer
        std::uint32_t refused_connections = 0; ///< of holds, in a row
        /// When the first hold failed after the last answer.
        std::optional<base::time_point> contact_lost_at;
        hold_outcome contact_lost_by = hold_outcome::unknown;
        std::optional<process_end> end; ///< of this instance
        /// Ends of earlier instances with the same id, by the start of the instance.
        std::map<base::wall_time, process_end> earlier_ends;
        std::optional<base::time_point> last_contact;
        base::time_point lease_end; ///< by then every lease on the worker has expired
        worker_time clock{};
        std::optional<base::time_point> clock_read;
        std::uint64_t cursor = 0;          ///< ends up to this one are committed
        std::uint64_t last_listed_end = 0; ///< ends up to this one are reported
        bool is_hold_open = false;
        base::time_point check_sent; ///< the last hold sent while another was open
        base::time_point next_hold;
        std::map<run_key, sent_start> starts;
        std::map<run_key, running_row> running;
        /// When a run was first listed after another member of its gang was done.
        std::map<run_key, base::time_point> ending_since;
        std::map<run_key, listed_checkpoint> checkpoints;
        std::map<run_key, base::time_point> stop_sent_at; ///< of the last stop
        std::map<run_key, end_kind> reported_ends;        ///< reported, not yet committed
        std::map<job_number, base::time_point> failed_jobs;
        std::uint32_t quarantines = 0;
        base::time_point quarantined_until;
        bool was_usable = false;           ///< when it was last reported
        std::size_t unanswered_starts = 0; ///< number of `starts` without an answer
    };

    entry* find(const base::worker_id& id);
    [[nodiscard]] const entry* find(const base::worker_id& id) const;
    [[nodiscard]] worker_address address(const entry& worker) const;
    [[nodiscard]] worker_time clock_now(const entry& worker, base::time_point now) const;
    void extend_lease(entry& worker, worker_time deadline);
    /// Whether the worker has left a start unanswered for too long.
    [[nodiscard]] bool is_unresponsive(const entry& worker, base::time_point now) const;
    /// How long a start may stay unanswered before it is doubted.
    [[nodiscard]] base::duration start_doubt() const;
    [[nodiscard]] bool is_doubted(const sent_start& start, base::time_point now) const;
    /// Whether a start is in doubt, so that the worker's lists should be read at once.
    [[nodiscard]] bool needs_check(const entry& worker, base::time_point now) const;
    [[nodiscard]] bool is_usable(const entry& worker, base::time_point now) const;
    void report_usability(entry& worker, base::time_point now);
    static void mark_answered(entry& worker, sent_start& start, base::time_point now);
    static void erase_start(entry& worker, const run_key& run);
    /// `job` is that of the run, or nullptr if the ledger doesn't have it, as in `is_wanted`.
    void confirm_start(const entry& worker, const run_key& run, const job_record* job);
    hold_order make_hold(entry& worker, base::time_point now);
    void send_hold(entry& worker, base::time_point now);
    void send_check(entry& worker, base::time_point now);
    void send_stop(entry& worker, base::time_point now, const run_key& run);
    void report(entry& worker, const run_key& run, end_kind how, std::string checkpoint = {});
    void report(entry& worker, end_report end);
    /// Reports that a run ended with the worker's process.
    void report_process_end(entry& worker, const run_key& run);
    void begin_instance(entry& worker, base::time_point now, const worker_info& info);
    /// Makes the worker refuse all earlier orders once it has received the next one.
    void raise_token(entry& worker);
    /// Records that the process of the worker's present instance has ended.
    const process_end& end_process(entry& worker, base::time_point now);
    /// Returns the end of an instance of the worker, or nullptr if this leader hasn't seen it.
    static const process_end* end_of(const entry& worker, base::wall_time started_at);
    /// Judges a run of which only its task's history is known.
    [[nodiscard]] crash_verdict judge_unseen(const run_key& run) const;
    /// Whether the worker has confirmed that the run began.
    static bool has_begun(const entry& worker, const run_key& run);
    /// Whether the ledger has a task on this instance of the worker.
    [[nodiscard]] bool has_placement_on(const base::worker_id& id,
                                        base::wall_time started_at) const;
    /// The runs that may have begun on the worker's present instance, which has ended.
    [[nodiscard]] std::vector<crashed_run> runs_at_end(const entry& worker,
                                                       base::time_point now) const;
    /// Ends all placements on a worker whose leases have expired.
    void end_lapsed_placements(entry& worker);
    void end_process_runs(entry& worker, base::time_point now);
    void read_hold(entry& worker, base::time_point now, base::time_point sent,
                   const hold_order& order, hold_outcome outcome, const hold_answer& answer);
    void read_failed_hold(entry& worker, base::time_point now, hold_outcome outcome);
    void read_finished(entry& worker, base::time_point now, const hold_answer& answer);
    /// See `end_report::took`.
    [[nodiscard]] std::optional<base::duration>
    duration_of(const entry& worker, base::time_point now, const run_key& run) const;
    void read_running(entry& worker, base::time_point now, const hold_answer& answer);
    /// Ends the placements that the worker's lists lack and that can't begin any more.
    void resolve_placements(entry& worker, base::time_point now, base::time_point sent,
                            const hold_answer& answer);
    [[nodiscard]] bool is_wanted(const entry& worker, const run_key& run,
                                 const job_record* job) const;
    static void note_checkpoint(entry& worker, base::time_point now, const running_row& row);
    void watch_progress(entry& worker, base::time_point now, const running_row& row,
                        const step_spec& step);
    /// Whether the run, which is no longer wanted, ends by itself because another member of its
    /// gang is done.
    [[nodiscard]] bool ends_soon(entry& worker, base::time_point now, const run_key& run) const;
    void update_health(entry& worker, base::time_point now, const run_key& run, end_kind how);
    void record_failure(entry& worker, base::time_point now, job_number job);

    worker_settings m_settings;
    std::set<run_key> m_unsent; ///< see `unsent_runs`
    const ledger& m_ledger;
    scheduling::progress_monitor m_progress;
    fencing_token m_last_token; ///< the highest one of a worker
    std::map<base::worker_id, entry> m_workers;
    std::size_t m_unresponsive_workers = 0; ///< count at the last tick
    base::duration m_mean_start_time{};     ///< of answered start calls, exponentially weighted
    output m_out;
};

} // namespace lovagebeam::jobs
