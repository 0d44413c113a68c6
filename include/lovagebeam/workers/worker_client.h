#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/targets/http_client.h"
#include "lovagebeam/workers/protocol.h"

#include <functional>
#include <string>
#include <string_view>

namespace lovagebeam::workers {

/// Whether a call took effect on the worker.
enum class worker_outcome {
    accepted, ///< Status 200, 202 or 204. A cancel of a task the worker doesn't have, 404, too.
    refused,  ///< Another status of 400 to 499, or 503: the call had no effect.
    not_sent, ///< No byte reached the worker.
    unknown,  ///< The call may have taken effect.
};

std::string_view name_of(worker_outcome outcome);

struct worker_result {
    worker_outcome outcome = worker_outcome::unknown;
    unsigned status = 0; ///< 0 without an answer.
    std::string detail;  ///< For logs.
};

/// Called once for each call, on the HTTP client's thread. Must not block.
using worker_callback = std::function<void(worker_result)>;

/// Typed calls to workers. Stateless; does not retry. The functions may be called from any thread.
class worker_client {
public:
    /// `client` must outlive this object.
    explicit worker_client(targets::http_client& client) : m_client{client} {}

    /// Requests the start of a task.
    void start_task(const targets::endpoint& worker, const start_task_request& request,
                    base::time_point deadline, worker_callback callback);

    /// Requests the stop of a task. Idempotent.
    void cancel_task(const targets::endpoint& worker, const base::task_id& task,
                     base::time_point deadline, worker_callback callback);

private:
    targets::http_client& m_client;
};

} // namespace lovagebeam::workers
