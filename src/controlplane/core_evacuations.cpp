#include "lovagebeam/base/errors.h"
#include "lovagebeam/jobs/evacuation.h"
#include "lovagebeam/telemetry/log.h"

#include "core_host_implementation.h"
#include "internal_calls.h"

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

#include <chrono>
#include <memory>
#include <utility>

// Operators' orders to evacuate failure domains. The platform's form of these calls is in the
// adapter; the product's own command calls the internal port.

namespace lovagebeam::controlplane {
namespace {

using base::error_code;
using base::make_error;
using telemetry::log_event;
using telemetry::severity;

constexpr unsigned status_ok = 200;
constexpr unsigned status_redirect = 307;
constexpr unsigned status_invalid = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method = 405;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_limit = 422;
constexpr unsigned status_unavailable = 503;
/// An election takes less than a second.
constexpr std::string_view retry_seconds = "1";

absl::Status check_order(const evacuation_order& order)
{
    for (const auto* const note : {&order.who, &order.why}) {
        if (note->size() > jobs::max_evacuation_note_bytes) {
            return make_error(error_code::invalid_request,
                              absl::StrCat("who and why may have ", jobs::max_evacuation_note_bytes,
                                           " bytes each"));
        }
    }
    return jobs::check_domain_name(order.domain.str());
}

boost::json::object to_json(const base::failure_domain& domain,
                            const jobs::evacuation_record& record)
{
    return {
        {"domain", domain.str()},      {"evacuated", record.is_in_force},
        {"revision", record.revision}, {"changed_ms", record.changed.time_since_epoch().count()},
        {"who", record.who},           {"why", record.why}};
}

/// Reads the optional fields of an order. Fails with `invalid_request`.
absl::Status read_order_body(const std::string& body, evacuation_order& order)
{
    if (body.empty()) {
        return absl::OkStatus();
    }
    boost::system::error_code error;
    const auto document = boost::json::parse(body, error);
    if (error || !document.is_object()) {
        return make_error(error_code::invalid_request, "the body isn't a JSON object");
    }
    for (const auto& [name, value] : document.get_object()) {
        if (name == "who" && value.is_string()) {
            order.who = value.get_string();
        }
        else if (name == "why" && value.is_string()) {
            order.why = value.get_string();
        }
        else if (name == "expected_revision" && value.is_int64() && value.get_int64() >= 0) {
            order.expected_revision = static_cast<std::uint64_t>(value.get_int64());
        }
        else {
            return make_error(error_code::invalid_request,
                              absl::StrCat("the field \"", std::string{name},
                                           "\" is unknown or has an invalid value"));
        }
    }
    return absl::OkStatus();
}

callers::http_response to_response(const control_answer& answer, std::uint16_t port,
                                   const std::string& target)
{
    switch (answer.outcome) {
    case control_outcome::done: {
        callers::http_response response;
        response.status = status_ok;
        response.body = answer.body;
        return response;
    }
    case control_outcome::invalid:
        return callers::error_response(status_invalid, error_code::invalid_request, answer.body);
    case control_outcome::conflict:
        return callers::error_response(status_conflict, error_code::version_conflict, answer.body);
    case control_outcome::limit:
        return callers::error_response(status_limit, error_code::invalid_request, answer.body);
    case control_outcome::not_leader:
        if (!answer.leader_address.empty()) {
            auto response = callers::error_response(status_redirect, error_code::not_leader,
                                                    "another process leads");
            response.headers.push_back(
                {"Location", absl::StrCat("http://", answer.leader_address, ":", port, target)});
            return response;
        }
        break;
    case control_outcome::unconfirmed:
        break;
    }
    const bool may_have_run = answer.outcome == control_outcome::unconfirmed;
    auto response =
        callers::error_response(status_unavailable, error_code::not_leader,
                                may_have_run ? "the order isn't confirmed" : "no leader is known",
                                may_have_run ? "unknown" : "not_run");
    response.headers.push_back({"Retry-After", std::string{retry_seconds}});
    return response;
}

} // namespace

void core_host_implementation::set_evacuation(evacuation_order order, control_done done)
{
    // Any process may refuse an invalid order, since it is invalid whoever leads.
    if (const auto status = check_order(order); !status.ok()) {
        log_event{severity::info, "evacuation_refused"}
            .with("why", std::string{status.message()})
            .write();
        done({control_outcome::invalid, {}, std::string{status.message()}});
        return;
    }
    auto shared = std::make_shared<evacuation_order>(std::move(order));
    m_loop.post_completion(
        [this, shared, done](base::time_point now) { handle_evacuation(now, *shared, done); });
}

// Also an order that asks for what is in force is committed: an earlier order to the contrary may
// be on its way to the commit.
void core_host_implementation::handle_evacuation(base::time_point now,
                                                 const evacuation_order& order,
                                                 const control_done& done)
{
    const auto waited = now - order.received;
    if (waited > m_settings.ack_timeout) {
        log_event{severity::warning, "evacuation_refused"}
            .with("why", "it waited for too long")
            .with("domain", order.domain.str())
            .with("waited_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(waited).count())
            .write();
        done({});
        return;
    }
    if (!m_coordinator || !m_log.is_established_leader(now)) {
        done(make_not_leader_answer(now));
        return;
    }
    log_event{severity::info, "evacuation_accepted"}
        .with("domain", order.domain.str())
        .with("evacuate", order.evacuate)
        .with("who", order.who)
        .with("why", order.why)
        .with("expected_revision", order.expected_revision)
        .write();
    proto::jobs::Operation operation;
    auto& body = *operation.mutable_put_evacuation();
    body.set_domain(order.domain.str());
    body.set_evacuated(order.evacuate);
    body.set_who(order.who);
    body.set_why(order.why);
    body.set_expected_revision(order.expected_revision);
    commit(now, std::move(operation), [this, order, done](commit_outcome outcome) {
        done(outcome == commit_outcome::committed ? result_of(order) : control_answer{});
    });
}

// Call it directly after the order was applied, before any later one is.
control_answer core_host_implementation::result_of(const evacuation_order& order) const
{
    const auto& all = records().evacuations();
    const auto found = all.find(order.domain);
    const auto record = found == all.end() ? jobs::evacuation_record{} : found->second;
    const bool is_as_ordered = record.is_in_force == order.evacuate;
    const auto expected = order.expected_revision;
    // The order, or the same one sent again, has made the change after the expected revision.
    const bool is_changed_by_order =
        record.revision == expected + 1 && record.who == order.who && record.why == order.why;
    const bool is_expected = expected == 0 || record.revision == expected || is_changed_by_order;
    if (is_as_ordered && is_expected) {
        return {control_outcome::done, {}, boost::json::serialize(to_json(order.domain, record))};
    }
    if (expected != 0 && record.revision != expected) {
        return {control_outcome::conflict,
                {},
                absl::StrCat("the revision of the failure domain ", order.domain.str(), " is ",
                             record.revision, ", not ", expected)};
    }
    return {control_outcome::limit,
            {},
            absl::StrCat("as many failure domains are evacuated as may be at a time: ",
                         jobs::max_evacuated_domains)};
}

void core_host_implementation::list_evacuations(control_done done)
{
    m_loop.post_completion([this, done](base::time_point now) { done(make_evacuation_list(now)); });
}

control_answer core_host_implementation::make_evacuation_list(base::time_point now) const
{
    if (!m_coordinator || !m_log.is_established_leader(now)) {
        return make_not_leader_answer(now);
    }
    boost::json::array list;
    for (const auto& [domain, record] : records().evacuations()) {
        list.push_back(to_json(domain, record));
    }
    return {control_outcome::done,
            {},
            boost::json::serialize(boost::json::object{{"evacuations", std::move(list)}})};
}

void core_host_implementation::serve_evacuations(base::time_point now,
                                                 const callers::http_request& request,
                                                 const callers::reply& reply)
{
    const auto respond = [reply, port = core_port(m_settings),
                          target = request.target](const control_answer& answer) {
        reply(to_response(answer, port, target));
    };
    const auto rest = request.path().substr(evacuations_path.size());
    const bool is_list = rest.empty();
    if (!is_list && !rest.starts_with('/')) {
        reply(callers::error_response(status_not_found, error_code::not_found, "no such call"));
        return;
    }
    const std::string_view allowed = is_list ? "GET" : "PUT, DELETE";
    if (is_list ? request.method != "GET" : request.method != "PUT" && request.method != "DELETE") {
        auto response = callers::error_response(status_method, error_code::invalid_request,
                                                "the method isn't allowed here");
        response.headers.push_back({"Allow", std::string{allowed}});
        reply(std::move(response));
        return;
    }
    if (is_list) {
        respond(make_evacuation_list(now));
        return;
    }
    evacuation_order order;
    order.domain = base::failure_domain{std::string{rest.substr(1)}};
    order.evacuate = request.method == "PUT";
    order.received = now - (std::chrono::steady_clock::now() - request.received_at);
    if (const auto status = read_order_body(request.body, order); !status.ok()) {
        respond({control_outcome::invalid, {}, std::string{status.message()}});
        return;
    }
    set_evacuation(std::move(order), respond);
}

} // namespace lovagebeam::controlplane
