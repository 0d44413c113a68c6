#pragma once

#include "lovagebeam/controlplane/ports.h"
#include "lovagebeam/jobs/ledger.h"
#include "lovagebeam/scheduling/admission_forecast.h"

#include "controlplane.pb.h"
#include "state_watch.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::controlplane {

/// Handles callers' requests on the leader: submissions, cancellations, and queries for the state
/// of a job or the length of a queue. Not thread-safe; used on the decisions thread only.
class caller_service {
public:
    using answer = proto::controlplane::CallerAnswer;
    using done = std::function<void(answer)>;
    /// Result of a proposed operation.
    enum class commit_outcome {
        committed,
        refused,     ///< it had no effect
        unconfirmed, ///< it may still be committed
    };

    struct dependencies {
        const document_codec* codec = nullptr;
        /// Returns the current ledger.
        std::function<const jobs::ledger&()> records;
        /// Proposes one operation; the callback receives the result.
        std::function<void(base::time_point, proto::jobs::Operation,
                           std::function<void(commit_outcome)>)>
            commit;
        /// Called when a valid submission is about to be proposed.
        std::function<void(base::time_point, const jobs::job_spec&)> submitted;
        /// Returns the time of day.
        std::function<base::wall_time(base::time_point)> wall;
        /// Judges whether a valid submission of a new job could end in time. Called before
        /// `submitted`; a job that it refuses isn't proposed.
        std::function<scheduling::admission_forecast::verdict(base::time_point,
                                                              const jobs::job_spec&)>
            judge;
    };

    explicit caller_service(dependencies deps) : m_dependencies{std::move(deps)} {}

    /// `catalog` is the configuration in force, or nullptr when there is none yet. `waited` is how
    /// long the call was queued in this process: new jobs are refused when that is too long, since
    /// the process is then overloaded.
    void handle(base::time_point now, base::duration waited, const jobs::catalog* catalog,
                const proto::controlplane::CallerCall& call, done reply);

    /// Call after `batch` was applied to the ledger. Answers the requests that wait for the end of
    /// a job in it.
    void on_applied(const proto::jobs::Batch& batch);
    /// Answers the requests that have waited for a job's end for the maximum time.
    void tick(base::time_point now) { m_watch.tick(now); }
    /// Call when this process no longer leads. Redirects the waiting requests to the leader.
    void stop_leading() { m_watch.stop_leading(); }

private:
    /// What a call refers to in the configuration and the ledger.
    struct resolved_call {
        const jobs::queue_settings* queue = nullptr;
        std::string account;
        jobs::job_number job;
        bool has_job = false;
    };

    void submit(base::time_point now, base::duration waited, const resolved_call& resolved,
                std::string_view body, done reply);
    /// Answers a submission whose job could not end in time. Returns whether it did.
    bool refuse_by_forecast(base::time_point now, const jobs::job_spec& spec, const done& reply);
    void answer_query(base::time_point now, const resolved_call& resolved, const done& reply);
    void answer_state(jobs::job_number id, const done& reply) const;
    void cancel(base::time_point now, const resolved_call& resolved, done reply);
    void finish_submission(jobs::job_number id, commit_outcome outcome);

    dependencies m_dependencies;
    state_watch m_watch;
    /// Submissions with a pending commit. A job that is submitted twice is committed once, and both
    /// requests get its result.
    std::map<jobs::job_number, std::vector<done>> m_submissions;
    /// Submissions whose commit wasn't confirmed. They may still be committed, so they aren't
    /// refused when they are sent again.
    std::set<jobs::job_number> m_unconfirmed;
};

} // namespace lovagebeam::controlplane
