#include "api_client.h"

#include "lovagebeam/base/errors.h"

#include <boost/json.hpp>

#include <chrono>
#include <future>
#include <utility>

namespace lovagebeam::ctl {
namespace {

using base::error_code;
using base::make_error;

/// Longer than a host waits for a change to be committed.
constexpr std::chrono::seconds answer_timeout{12};

absl::Status error_from_response(const targets::http_result& result)
{
    boost::system::error_code error;
    const auto document = boost::json::parse(result.body, error);
    const auto* const object = error ? nullptr : document.if_object();
    const auto* const error_object = object == nullptr ? nullptr : object->if_contains("error");
    if (error_object == nullptr || !error_object->is_object()) {
        return make_error(error_code::internal_error,
                          "the host answered with status " + std::to_string(result.status));
    }
    const auto text_field = [&](const char* name) -> std::string {
        const auto* const value = error_object->get_object().if_contains(name);
        return value != nullptr && value->is_string() ? std::string{value->get_string()} : "";
    };
    const auto code = base::error_code_from_name(text_field("code"));
    std::string message = text_field("message");
    if (const auto version = result.header("Lovagebeam-Version")) {
        message += " (present version " + std::string{*version} + ")";
    }
    return make_error(code.value_or(error_code::internal_error), message);
}

} // namespace

api_client::api_client(targets::endpoint host, std::string credential)
    : m_host{std::move(host)}, m_credential{std::move(credential)}
{
    m_client.start();
}

absl::StatusOr<std::string> api_client::call_text(const std::string& method,
                                                  const std::string& path, const std::string& body)
{
    targets::http_call call;
    call.to = m_host;
    call.method = method;
    call.path = path;
    call.headers = {{"Authorization", "Bearer " + m_credential},
                    {"Content-Type", "application/json"}};
    call.body = body;
    call.deadline = std::chrono::steady_clock::now() + answer_timeout;
    std::promise<targets::http_result> promise;
    m_client.send(std::move(call), [&promise](targets::http_result result) {
        promise.set_value(std::move(result));
    });
    const targets::http_result result = promise.get_future().get();
    if (!result.answered()) {
        return result.to_status();
    }
    if (result.status >= 300) {
        return error_from_response(result);
    }
    return result.body;
}

absl::StatusOr<boost::json::object>
api_client::call(const std::string& method, const std::string& path, const std::string& body)
{
    const auto text = call_text(method, path, body);
    if (!text.ok()) {
        return text.status();
    }
    boost::system::error_code error;
    const auto document = boost::json::parse(*text, error);
    if (error || !document.is_object()) {
        return make_error(error_code::internal_error, "the host's answer isn't a JSON object");
    }
    return document.get_object();
}

} // namespace lovagebeam::ctl
