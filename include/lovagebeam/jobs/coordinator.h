#pragma once

#include "lovagebeam/jobs/advice_scheduler.h"
#include "lovagebeam/jobs/candidate_list.h"
#include "lovagebeam/jobs/coordinator_output.h"
#include "lovagebeam/jobs/coordinator_settings.h"
#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/jobs/orders.h"
#include "lovagebeam/jobs/preemption_policy.h"
#include "lovagebeam/jobs/step_order.h"
#include "lovagebeam/jobs/worker_table.h"
#include "lovagebeam/scheduling/admission_forecast.h"
#include "lovagebeam/scheduling/capacity_holds.h"
#include "lovagebeam/scheduling/duration_estimates.h"
#include "lovagebeam/scheduling/overload_gate.h"
#include "lovagebeam/scheduling/worker_speeds.h"

#include "jobs.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace lovagebeam::jobs {

/// The leader's job scheduler: decides which task starts where and when, gets the decision
/// committed, and only then orders the start. Exists for the duration of one leadership; a new
/// leader builds a new one from the ledger. No I/O and no clock. Not thread-safe.
class coordinator {
public:
    /// `records` must outlive the coordinator.
    coordinator(coordinator_settings settings, const ledger& records, fencing_token token,
                base::time_point now, base::wall_time wall);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    void on_catalog(std::shared_ptr<const catalog> catalog);
    /// Records contact with an agent that makes advice calls.
    void on_agent_contact(base::time_point now, const base::node_id& agent);
    /// Requests advice on the first steps of a job while the job is being committed.
    void on_submission(base::wall_time wall, const job_spec& spec);
    /// Forecasts when a new job would end and whether it is to be refused for that. An admitted job
    /// counts as waiting work from then on. Admits a job that the ledger has.
    scheduling::admission_forecast::verdict
    judge_admission(base::time_point now, base::wall_time wall, const job_spec& spec);
    /// To be called after the ledger applied `batch`.
    void on_applied(base::time_point now, const proto::jobs::Batch& batch);
    void on_batch_committed(std::uint64_t id);

    void on_clock(base::time_point now, const base::worker_id& worker, worker_time clock);
    /// A worker reported how much longer it is slow after its start; 0 if it isn't.
    void on_worker_cold(base::time_point now, const base::worker_id& worker,
                        base::wall_time started_at, milliseconds remaining);
    void on_start_answer(base::time_point now, const run_key& run, const base::worker_id& worker,
                         start_outcome outcome);
    void on_stop_done(base::time_point now, const run_key& run, const base::worker_id& worker);
    void on_hold_done(base::time_point now, base::time_point sent, const hold_order& order,
                      hold_outcome outcome, const hold_answer& answer);
    void on_advice(base::time_point now, std::uint64_t id,
                   const std::optional<std::vector<advice_row>>& rows);

    /// To be called about every 10 ms.
    void tick(base::time_point now, base::wall_time wall);

    /// Returns and clears the actions requested since the last call.
    coordinator_output take(base::time_point now, base::wall_time wall);
    /// Records that the last call of `take`, which planned if that was due, ended at `now` and took
    /// `took`. Delays the next planning pass if it took long.
    void on_planning_time(base::time_point now, base::duration took);

    [[nodiscard]] const worker_table& workers() const { return m_workers; }
    [[nodiscard]] const scheduling::worker_speeds& speeds() const { return m_speeds; }
    /// Whether the leader is short of processor time, so that batch work is planned seldom.
    [[nodiscard]] bool is_overloaded() const { return m_overload.is_overloaded(); }
    [[nodiscard]] std::size_t ready_step_count() const { return m_ready.size(); }
    [[nodiscard]] const scheduling::duration_estimates& estimates() const { return m_estimates; }
    [[nodiscard]] const scheduling::admission_forecast& forecast() const { return m_forecast; }
    [[nodiscard]] const step_order& order() const { return m_order; }
    /// Whether the fleet is full and the shares of several accounts decide.
    [[nodiscard]] bool are_shares_in_force() const { return m_are_shares_in_force; }
    /// Number of runs whose placement is decided but not committed yet.
    [[nodiscard]] std::size_t planned_run_count() const { return m_planned.size(); }

private:
    struct ready_step {
        bool is_gang = false;
        std::uint32_t priority = 0;
        std::string account;
        size task_size;               ///< as booked for one task
        std::int64_t task_use = 0;    ///< counted millicores of one task
        std::int64_t waiting_use = 0; ///< of its tasks that could be placed if there were room
        base::wall_time due_by;       ///< when the job's objective ends
        base::wall_time late_at;    ///< the rest of the job, begun later, ends after the objective
        base::wall_time expires_at; ///< from then on the job earns nothing
        base::time_point ready_since; ///< to the last tick
        base::time_point not_before;
        base::time_point next_look;        ///< see `planner_settings::look_interval`
        base::time_point query_not_before; ///< for advice on workers that no call has named
        base::time_point isolates_until;   ///< see `planner_settings::isolation_wait`
        std::uint32_t refused_starts = 0;
        bool is_late = false;
        bool is_expired = false;
        /// Whether a task of a long-running step must be started again. Such a step is never late
        /// or expired: the time since its job was accepted says nothing about it.
        bool is_restart = false;
    };
    using candidate_worker = candidate_list::candidate;
    struct assignment {
        std::uint32_t index = 0;
        candidate_worker* worker = nullptr;
    };
    struct reservation {
        base::time_point until;
        std::string account;
        std::vector<std::pair<candidate_worker*, size>> sizes;
    };
    struct planned_run {
        base::worker_id worker;
        candidate_worker* candidate = nullptr;
        jobs::size size;
        std::string account;
        std::uint32_t crashes = 0; ///< of the task
    };
    /// A worker that gets no further tasks while a suspected task proves itself.
    struct isolation {
        task_key task;
        base::time_point until;
    };
    /// One step with the data that planning needs.
    struct planned_step {
        const job_record& job;
        step_key key;
        const step_spec& spec;
        const step_record& record;
        std::string pool;
        std::int64_t budget; ///< see `planning_order::next_step`; one task is placed at least
        bool is_resumed;     ///< the same
        /// Of a worker that is fast enough; nothing where all workers are equally fast.
        std::optional<double> needed_speed;
    };
    struct evacuation_progress {
        /// Of the domains' records, as last seen: a repeated order changes nothing.
        std::map<base::failure_domain, std::uint64_t> revisions;
        std::set<run_key> withdrawn; ///< the ends of these aren't committed yet
    };
    /// Whether only workers with a currently valid ticket count as allowed.
    enum class ticket_rule { valid, any };
    /// Whether a step waits for an answer from the advice service.
    enum class advice_wait { none, open };
    /// Which of the workers that no call has named yet a call may name.
    enum class advice_scope { all, with_room };

    struct preemption;

    // Events.
    void on_worker_changed(base::time_point now, const base::worker_id& id);
    void add_ready_steps(const job_record& job);
    void add_ready_step(const job_record& job, const step_key& key);
    /// Ranks a ready step as a restart if it is one.
    void promote_restart(const step_key& key);
    void remove_ready_step(const step_key& key);
    void demote_late_steps(base::wall_time wall);
    static step_order::step_rank rank_of(const step_key& key, const ready_step& ready);
    void remove_job(const job_record& job);
    void on_placed(base::time_point now, const proto::jobs::PlaceTasks& operation);
    void on_ended(base::time_point now, const proto::jobs::EndTask& operation);
    void on_run_incomplete(base::time_point now, const job_record& job, const run_key& run,
                           const base::worker_id& worker, proto::jobs::EndKind how,
                           bool was_preempted);
    void stop_gang(base::time_point now, const job_record& job, const step_key& key);
    void stop_job(base::time_point now, const job_record& job);
    void send_start(base::time_point now, const run_key& run);
    void collect_worker_output(base::time_point now);
    /// Learns from a run that a worker listed as done.
    void observe_duration(const worker_table::end_report& end);
    void on_start_confirmed(base::time_point now, const worker_table::confirmed_start& start);
    /// Adds the jobs that have begun to a batch that is to be committed anyway, or to one of their
    /// own after a while.
    void add_begun_jobs(base::time_point now);
    void add_due_steps(base::wall_time wall);
    /// An order about the domain was applied to the ledger.
    void on_evacuation(base::time_point now, const base::failure_domain& domain);
    /// Releases what is reserved on workers of evacuated domains, and asks no advice about them.
    void release_evacuated_capacity();
    /// Withdraws the committed placements in evacuated domains whose start hasn't been sent, with
    /// the unsent members of their gangs.
    void withdraw_starts();
    [[nodiscard]] std::map<run_key, base::worker_id> unsent_runs_in_evacuated_domains() const;
    void report_withheld_start(const run_key& run, const base::worker_id& worker,
                               std::string_view why);
    proto::jobs::Operation& add_operation() { return *m_batch.add_operations(); }

    // Admission.
    /// Counts the waiting work of the step, and of the whole occurrence if it is new.
    void count_work(const job_record& job, const step_key& key);
    void count_admitted(base::time_point now, const job_spec& spec, base::wall_time due);
    void stop_counting(const job_record& job);
    void update_forecast(base::time_point now, base::wall_time wall);
    [[nodiscard]] scheduling::admission_forecast::supply supply_of(const std::string& pool) const;
    // Speed of workers.
    void observe_run(base::time_point now, const worker_table::end_report& end);
    void refresh_speeds(base::time_point now);
    [[nodiscard]] std::optional<double> needed_speed_of(const planned_step& step) const;
    /// The racks in `free`, in the order in which to try them for the step.
    [[nodiscard]] std::vector<std::string>
    rack_order(const planned_step& step, const std::map<std::string, std::int64_t>& free) const;

    // Planning.
    void plan(base::time_point now);
    [[nodiscard]] base::duration planning_interval() const;
    [[nodiscard]] base::duration look_interval(const ready_step& ready) const;
    /// Updates the entry of a worker in the list of candidates.
    void update_candidate(base::time_point now, const base::worker_id& id);
    /// Whether one task of the step may fit on some candidate, judging by processors only.
    [[nodiscard]] bool may_fit(const planned_step& step) const;
    /// The state of the fleet as the shares of accounts need it.
    [[nodiscard]] pass_input make_pass_input(base::time_point now);
    static std::int64_t counted_use(const size& booked);
    void set_waiting_use(ready_step& ready, std::int64_t use);
    /// Whether placing `more` for the step takes more than its budget.
    static bool exceeds_budget(const planned_step& step, const size& more);
    /// Whether the fleet has been short of capacity, and a pool still is nearly full.
    [[nodiscard]] bool is_short(base::time_point now) const;
    /// Whether more work waits than the free capacity can take.
    [[nodiscard]] bool is_demand_above_free() const;
    /// What a step that the advice service has just answered about may take beside the accounts'
    /// shares: what is reserved for it, or nothing.
    [[nodiscard]] std::int64_t answered_budget(const step_key& key) const;
    /// Logs that shares began or ceased to decide.
    void log_shares(const planning_order& pass);
    /// Logs which accounts have steps that the pass hasn't looked at, for one pass in a second.
    void log_passed_over(base::time_point now, const planning_order& pass);
    /// Sorts the ready steps again by the weights of the configuration.
    void apply_weights();
    /// Counts a job that was just accepted against the rate of its account.
    void count_accepted(const job_record& job);
    /// Calls `visit` with each candidate that advice allows under `rule`, or with all of them for
    /// a queue without advice.
    template <class Visit>
    void for_each_allowed(base::time_point now, const planned_step& step, ticket_rule rule,
                          Visit visit);
    /// Starts a planning pass without holds for gangs.
    void begin_holds();
    /// Holds workers for the step if it is a gang that waits for room and can still be in time.
    void hold_for_gang(base::time_point now, const step_key& key);
    /// The size of all tasks of the step that aren't done.
    static jobs::size total_size(const planned_step& step);
    /// Plans the steps about which the advice service has answered since the last pass.
    void plan_answered_steps(base::time_point now, bool has_batch);
    /// Whether a step is planned by a leader that is short of processor time.
    static bool is_urgent(const ready_step& ready)
    {
        return ready.is_restart || (ready.priority == 0 && !ready.is_expired);
    }
    obstacle plan_step(base::time_point now, const planning_order::next_step& next);
    /// Requests advice and preemption for the tasks of a step that found no room.
    obstacle seek_room(base::time_point now, const planned_step& step, ready_step& ready,
                       bool has_placed_none);
    /// Whether the limit of the account keeps each task of the step, or its whole gang, from being
    /// placed. Such a step gets advice for when the account may go on.
    bool is_stopped_by_limit(const planned_step& step);
    std::vector<assignment> assign(base::time_point now, const planned_step& step,
                                   ticket_rule rule);
    std::vector<assignment> assign_in_one_rack(base::time_point now, const planned_step& step,
                                               ticket_rule rule);
    std::vector<assignment> assign_within(base::time_point now, const planned_step& step,
                                          ticket_rule rule, const std::string* rack);
    /// The candidates that one task of the step fits on now, regardless of the limits of the step
    /// and its account.
    std::vector<candidate_worker*> eligible_workers(base::time_point now, const planned_step& step,
                                                    ticket_rule rule, const std::string* rack);
    /// The candidates that one task of the step could run on if they ran nothing else, with a valid
    /// ticket or without.
    std::vector<const candidate_worker*> suitable_workers(base::time_point now,
                                                          const planned_step& step);
    /// Whether one task of the step fits on the candidate now.
    static bool accepts(const planned_step& step, const candidate_worker& candidate,
                        const std::map<base::worker_id, std::uint32_t>& counts);
    candidate_worker* choose(const planned_step& step,
                             const std::vector<candidate_worker*>& eligible,
                             const std::map<base::worker_id, std::uint32_t>& counts) const;
    /// The tasks of the step that have no worker yet, in the order in which to choose one.
    [[nodiscard]] std::vector<std::uint32_t> waiting_tasks(const planned_step& step) const;
    /// Like `choose`, for a task that may have crashed workers. `chosen` is what the step's other
    /// tasks got in this pass.
    candidate_worker* choose_for_suspect(base::time_point now, const planned_step& step,
                                         const task_record& task,
                                         const std::vector<candidate_worker*>& eligible,
                                         const std::map<base::worker_id, std::uint32_t>& counts,
                                         const std::vector<assignment>& chosen) const;
    /// Whether `key` is a member of the gang that the step is, so that it doesn't matter which of
    /// them crashes a worker.
    static bool is_gang_mate(const planned_step& step, const task_key& key);
    /// For each candidate with runs whose start hasn't been sent, the most crashes of one of them.
    [[nodiscard]] std::map<const candidate_worker*, std::uint32_t>
    planned_suspects(const planned_step& step, const std::vector<assignment>& chosen) const;
    /// The most crashes that a placed task of another step on the worker has been under.
    [[nodiscard]] std::uint32_t most_crashes_on(const base::worker_id& worker,
                                                const planned_step& step) const;
    void isolate(base::time_point now, const base::worker_id& worker, const task_key& key,
                 const task_record& task);
    /// Ends the isolation of the worker for the sake of `key`.
    void end_isolation(base::time_point now, const base::worker_id& worker, const task_key& key);
    /// Ends those whose time is over.
    void end_isolations(base::time_point now);
    /// Requests the advice that the step lacks. Returns `open` when capacity is available and the
    /// step only waits for an answer, or when it waits for its first answer.
    advice_wait request_missing_advice(base::time_point now, const planned_step& step,
                                       ready_step& ready);
    void request_advice_on_unknown_workers(const step_key& key, const job_spec& job,
                                           const std::string& pool, const advice_policy& policy,
                                           advice_scheduler::call_rank rank,
                                           advice_scope scope = advice_scope::all);
    /// A worker that no call about a step has named yet.
    struct advice_candidate {
        const candidate_worker* worker = nullptr;
        std::int64_t tasks = 0; ///< of the step that fit now
        std::uint64_t hash = 0; ///< of the step and the worker
    };
    /// Number of the step's tasks that fit into `free`.
    static std::int64_t tasks_that_fit(const step_spec& step, const size& free);
    /// How many of the `unknown` workers calls about the step should name.
    [[nodiscard]] std::size_t workers_to_name(const step_spec& step, const advice_policy& policy,
                                              const std::vector<advice_candidate>& unknown) const;
    static advice_scheduler::call_rank call_rank_of(const ready_step& ready);
    void commit(base::time_point now, const planned_step& step,
                const std::vector<assignment>& chosen);
    void remove_planned_run(const task_key& key);
    void reserve(base::time_point now, const planned_step& step,
                 const std::vector<assignment>& chosen);
    void release_reservation(const step_key& key);

    // Preemption.
    /// Records how often tasks of the job may have been preempted under earlier leaders.
    void assume_preemptions(const job_record& job);
    /// Records the end of a run. Returns whether it was preempted. Call it before the worker table
    /// forgets the run.
    bool end_preemption(const run_key& run, const base::worker_id& worker,
                        proto::jobs::EndKind how);
    /// Releases the room that is booked for the step, to look for room anew.
    /// Returns whether there was any. `preempt_for` books what is still needed.
    bool release_preempted_room(const step_key& key);
    /// Books room that is being freed for the waiting tasks of an urgent step, and orders runs to
    /// stop for those that lack it. Returns whether all of them have room on the way.
    bool preempt_for(base::time_point now, const planned_step& step, advice_wait advice);
    /// Plans the steps for which runs are being stopped and that the pass has left out.
    void plan_steps_with_room(base::time_point now);
    void tick_preemption(base::time_point now, base::wall_time wall);
    /// The capacity of a worker that is free or being freed, without what is booked.
    [[nodiscard]] size room_coming(base::time_point now, const candidate_worker& on) const;
    /// Books released room again, for at most `tasks` tasks.
    void rebook_room(base::time_point now, const planned_step& step, std::size_t tasks);
    [[nodiscard]] std::size_t tasks_without_room(const planned_step& step) const;
    /// Orders runs to stop for that many tasks of the step and books the room.
    void make_room(base::time_point now, const planned_step& step, std::size_t tasks);
    void stop_for(base::time_point now, const planned_step& urgent,
                  const scheduling::preemption_planner::victim& which);
    void begin_preemption_pass(base::time_point now);
    void ask_about_further_workers(base::time_point now, const planned_step& step);
    void renew_tickets(base::time_point now, const planned_step& step);
    std::vector<scheduling::preemption_planner::worker>
    workers_to_compare(base::time_point now, const planned_step& step);
    /// The workers that the step may use, full or not.
    std::vector<candidate_worker*> workers_for_preemption(const planned_step& step);
    const std::vector<const scheduling::preemption_planner::victim*>&
    victims_on(base::time_point now, const candidate_worker& on);
    /// Adds the run of the task, or all runs of its gang, unless they can't be stopped now.
    void add_victim(base::time_point now, const job_record& job, const task_key& key,
                    std::vector<const scheduling::preemption_planner::victim*>& out);

    [[nodiscard]] bool has_headroom(const planned_step& step, const size& more) const;
    [[nodiscard]] bool is_within_limit(const std::string& account, const size& more) const;
    /// What the account's limit leaves of each resource.
    [[nodiscard]] size limit_room(const std::string& account) const;
    [[nodiscard]] const advice_policy* advice_for(const job_spec& job) const;
    [[nodiscard]] std::string pool_of(const job_spec& job) const;
    [[nodiscard]] std::map<base::worker_id, std::uint32_t>
    counts_on_workers(const planned_step& step) const;
    [[nodiscard]] base::wall_time objective_end(const job_spec& job, base::wall_time from,
                                                double objectives) const;

    coordinator_settings m_settings;
    const ledger& m_ledger;
    worker_table m_workers;
    advice_scheduler m_advice;
    scheduling::duration_estimates m_estimates;
    std::map<std::string, double> m_logged_factors; ///< of queues, from `m_estimates`
    scheduling::admission_forecast m_forecast;
    /// Jobs that were admitted and may not be in the ledger yet, with the time until which they
    /// count.
    std::deque<std::pair<base::time_point, job_number>> m_admitted;
    base::time_point m_next_forecast;
    scheduling::worker_speeds m_speeds;
    std::set<std::string> m_uneven_pools; ///< with a usable worker that is slow or fast
    base::time_point m_next_speeds;       ///< when the speeds are derived again
    base::wall_time m_wall;               ///< at the last call of `take`
    std::shared_ptr<const catalog> m_catalog;
    std::map<step_key, ready_step> m_ready;
    std::int64_t m_waiting_use = 0;   ///< the sum over the ready steps
    step_order m_order;               ///< of the ready steps
    left_out_steps m_left_out;        ///< by the last planning pass
    base::time_point m_last_shortage; ///< when a step couldn't be placed for lack of capacity
    bool m_are_shares_in_force = false;
    base::time_point m_next_passed_over_log;
    /// When ready steps become late and then expire.
    std::set<std::pair<base::wall_time, step_key>> m_demotions;
    std::set<std::pair<base::wall_time, step_key>>
        m_scheduled_steps;                     ///< of timed jobs, not due yet
    std::map<task_key, planned_run> m_planned; ///< decided, not yet committed
    std::map<std::string, size> m_planned_by;
    std::map<step_key, reservation> m_reserved;
    std::set<step_key> m_answered; ///< with an answer of the advice service since the last pass
    std::map<step_key, std::set<base::worker_id>> m_avoided; ///< where a task of the step failed
    std::map<base::worker_id, isolation> m_isolated;
    evacuation_progress m_evacuation;
    candidate_list m_candidates;
    scheduling::overload_gate m_overload;
    scheduling::capacity_holds m_holds;
    std::uint32_t m_lowest_priority = 0; ///< of the ready steps that haven't expired
    std::unique_ptr<preemption> m_preemption;
    base::time_point m_next_plan;
    /// When the next pass looks at the steps that the last one left out, though nothing has
    /// changed.
    std::optional<base::time_point> m_continue_plan;
    proto::jobs::Batch m_batch;
    std::uint64_t m_last_batch = 0;
    std::vector<worker_table::cursor_move> m_cursors; ///< of the next batch
    std::set<job_number> m_begun;           ///< have begun, and the ledger doesn't have it yet
    std::vector<job_number> m_unsent_begun; ///< those of them that are in no batch yet
    base::time_point m_begun_due;           ///< when a batch for them is made
    std::map<std::uint64_t, std::vector<worker_table::cursor_move>> m_batch_cursors;
    base::time_point m_last_forget;
    bool m_needs_planning = true; ///< a change may allow a task to start
    coordinator_output m_out;
};

} // namespace lovagebeam::jobs
