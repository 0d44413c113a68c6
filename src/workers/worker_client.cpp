#include "lovagebeam/workers/worker_client.h"

#include "lovagebeam/targets/protocol.h"

#include <array>
#include <utility>

namespace lovagebeam::workers {
namespace {

constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

targets::http_call make_call(const targets::endpoint& worker, std::string method, std::string path,
                             base::time_point deadline)
{
    targets::http_call call;
    call.to = worker;
    call.method = std::move(method);
    call.path = std::move(path);
    call.deadline = deadline;
    return call;
}

worker_outcome classify(const targets::http_result& result, bool is_cancel)
{
    if (!result.answered()) {
        return result.maybe_sent ? worker_outcome::unknown : worker_outcome::not_sent;
    }
    if (result.status == 200 || result.status == 202 || result.status == 204 ||
        (is_cancel && result.status == status_not_found)) {
        return worker_outcome::accepted;
    }
    if ((result.status >= 400 && result.status < 500) || result.status == status_unavailable) {
        return worker_outcome::refused;
    }
    return worker_outcome::unknown;
}

targets::http_callback convert(worker_callback callback, bool is_cancel)
{
    return [callback = std::move(callback), is_cancel](targets::http_result result) {
        callback({.outcome = classify(result, is_cancel),
                  .status = result.status,
                  .detail = result.answered() ? std::move(result.body)
                                              : std::string{targets::name_of(result.outcome)} +
                                                    ": " + result.detail});
    };
}

} // namespace

std::string_view name_of(worker_outcome outcome)
{
    constexpr std::array<std::string_view, 4> names{"accepted", "refused", "not_sent", "unknown"};
    return names[static_cast<std::size_t>(outcome)];
}

void worker_client::start_task(const targets::endpoint& worker, const start_task_request& request,
                               base::time_point deadline, worker_callback callback)
{
    targets::http_call call = make_call(worker, "POST", "/lovagebeam/v1/tasks", deadline);
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = encode(request);
    m_client.send(std::move(call), convert(std::move(callback), false));
}

void worker_client::cancel_task(const targets::endpoint& worker, const base::task_id& task,
                                base::time_point deadline, worker_callback callback)
{
    m_client.send(make_call(worker, "DELETE",
                            "/lovagebeam/v1/tasks/" + targets::percent_encode(task.str()),
                            deadline),
                  convert(std::move(callback), true));
}

} // namespace lovagebeam::workers
