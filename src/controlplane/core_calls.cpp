#include "lovagebeam/base/errors.h"

#include "core_host_implementation.h"
#include "internal_calls.h"

#include <chrono>
#include <memory>
#include <utility>

// Handlers of the calls from entry processes and other core processes.

namespace lovagebeam::controlplane {
namespace {

namespace pb = proto::controlplane;

using base::error_code;

constexpr unsigned first_error_status = 400;

callers::http_response message_response(const google::protobuf::MessageLite& message)
{
    callers::http_response response;
    response.content_type = "application/octet-stream";
    response.body = message.SerializeAsString();
    return response;
}

} // namespace

void core_host_implementation::on_request(callers::http_request request,
                                          const callers::reply& reply)
{
    auto shared = std::make_shared<callers::http_request>(std::move(request));
    if (!m_loop.try_post(
            [this, shared, reply](base::time_point now) { serve(now, *shared, reply); })) {
        reply(callers::error_response(503, error_code::queue_full, "too many calls wait"));
    }
}

void core_host_implementation::serve(base::time_point now, const callers::http_request& request,
                                     const callers::reply& reply)
{
    const auto path = request.path();
    if (path == caller_path) {
        serve_caller(now, request, reply);
    }
    else if (path == sync_path) {
        serve_sync(now, request.body, reply);
    }
    else if (path == hello_path) {
        serve_hello(now, request.body, reply);
    }
    else if (path.starts_with(evacuations_path)) {
        serve_evacuations(now, request, reply);
    }
    else {
        reply(callers::error_response(404, error_code::not_found, "no such call"));
    }
}

void core_host_implementation::serve_caller(base::time_point now,
                                            const callers::http_request& request,
                                            const callers::reply& reply)
{
    pb::CallerCall call;
    if (!call.ParseFromString(request.body)) {
        reply(callers::error_response(400, error_code::invalid_request, "malformed call"));
        return;
    }
    if (!m_coordinator || !m_log.is_established_leader(now)) {
        pb::CallerAnswer answer;
        answer.set_not_leader(true);
        answer.set_leader(m_group.leader(now));
        reply(message_response(answer));
        return;
    }
    const auto waited = std::chrono::steady_clock::now() - request.received_at;
    m_load.on_call(call.attempt(), waited);
    if (call.remaining_ms() > 0 && waited >= std::chrono::milliseconds{call.remaining_ms()}) {
        m_load.on_expired_call();
    }
    m_callers.handle(now, waited, m_catalog.get(), call,
                     [this, reply](const pb::CallerAnswer& answer) {
                         if (answer.status() >= first_error_status) {
                             m_core_metrics.on_refusal(answer.status());
                         }
                         reply(message_response(answer));
                     });
}

void core_host_implementation::serve_sync(base::time_point now, const std::string& body,
                                          const callers::reply& reply)
{
    pb::SyncRequest request;
    if (!request.ParseFromString(body)) {
        reply(callers::error_response(400, error_code::invalid_request, "malformed call"));
        return;
    }
    pb::SyncAnswer answer;
    const bool is_leader = m_coordinator && m_log.is_established_leader(now);
    answer.set_is_leader(is_leader);
    answer.set_leader(m_group.leader(now));
    for (const auto& core : m_group.cores(now)) {
        answer.add_cores(core);
    }
    answer.set_catalog_version(records().catalog_version());
    if (is_leader) {
        m_load.on_sync();
        m_coordinator->on_agent_contact(now, base::node_id{request.entry()});
        if (request.wall_ms() != 0) {
            m_clock.on_reading(now, request.entry(),
                               base::wall_time{std::chrono::milliseconds{request.wall_ms()}});
        }
    }
    reply(message_response(answer));
}

void core_host_implementation::serve_hello(base::time_point now, const std::string& body,
                                           const callers::reply& reply)
{
    pb::CoreHello hello;
    if (!hello.ParseFromString(body) || !core_directory::is_address(hello.core())) {
        reply(callers::error_response(400, error_code::invalid_request, "malformed call"));
        return;
    }
    reply(message_response(m_group.on_hello(now, hello)));
}

} // namespace lovagebeam::controlplane
