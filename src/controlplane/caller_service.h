#pragma once

#include "lovagebeam/controlplane/ports.h"
#include "lovagebeam/jobs/ledger.h"

#include "controlplane.pb.h"
#include "state_watch.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagebeam::controlplane {

/// Answers callers' requests on the leader: submissions, states, cancellations and the length of a
/// queue. Not thread-safe; lives on the decisions thread.
class caller_service {
public:
    using answer = proto::controlplane::CallerAnswer;
    using done = std::function<void(answer)>;
    /// How a proposed operation ended.
    enum class commit_outcome { committed, refused, in_doubt };

    struct parts {
        const document_codec* codec = nullptr;
        /// The ledger in force.
        std::function<const jobs::ledger&()> records;
        /// Commits one operation.
        std::function<void(base::time_point, proto::jobs::Operation,
                           std::function<void(commit_outcome)>)>
            commit;
        /// A valid submission is about to be committed.
        std::function<void(base::time_point, const jobs::job_spec&)> submitted;
    };

    explicit caller_service(parts given) : m_parts{std::move(given)} {}

    /// `catalog` is the configuration in force, or nullptr when there is none yet. `waited` is how
    /// long the call waited in this process: new jobs are refused when that is too long, since the
    /// process then gets more calls than it can serve.
    void handle(base::time_point now, base::duration waited, const jobs::catalog* catalog,
                const proto::controlplane::CallerCall& call, done reply);

    /// `batch` was applied to the ledger: answers those who wait for the jobs that it ended.
    void on_applied(const proto::jobs::Batch& batch);
    /// Answers those who have waited long enough for a job's end.
    void tick(base::time_point now) { m_watch.tick(now); }
    /// This process no longer leads: those who wait are sent to the leader.
    void stop_leading() { m_watch.stop_leading(); }

private:
    struct subject {
        const jobs::queue_settings* queue = nullptr;
        std::string account;
        jobs::job_number job;
        bool names_job = false;
    };

    void submit(base::time_point now, base::duration waited, const subject& about,
                std::string_view body, done reply);
    void show(base::time_point now, const subject& about, const done& reply);
    void show_state(jobs::job_number id, const done& reply) const;
    void cancel(base::time_point now, const subject& about, done reply);
    void finish_submission(jobs::job_number id, commit_outcome outcome);

    parts m_parts;
    state_watch m_watch;
    /// Submissions whose commit is under way. A job that is sent twice waits for the one commit.
    std::map<jobs::job_number, std::vector<done>> m_submissions;
};

} // namespace lovagebeam::controlplane
