#include "api_client.h"

#include "lovagebeam/base/errors.h"

#include <boost/json.hpp>

#include <charconv>
#include <chrono>
#include <future>
#include <optional>
#include <string_view>
#include <utility>

namespace lovagebeam::ctl {
namespace {

using base::error_code;
using base::make_error;

/// Longer than a host waits for a change to be committed.
constexpr std::chrono::seconds answer_timeout{12};
/// The leader may change once while a call is redirected.
constexpr int max_redirects = 2;
constexpr unsigned status_redirect = 307;

/// Returns the address and port of an URL, or nothing.
std::optional<targets::endpoint> endpoint_in(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme)) {
        return std::nullopt;
    }
    url.remove_prefix(scheme.size());
    const auto host = url.substr(0, url.find('/'));
    const auto colon = host.rfind(':');
    targets::endpoint out;
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    out.address = host.substr(0, colon);
    const auto port = host.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), out.port);
    return parsed.ec == std::errc{} ? std::optional{out} : std::nullopt;
}

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

targets::http_result api_client::send(const targets::endpoint& to, const std::string& method,
                                      const std::string& path, const std::string& body)
{
    targets::http_call call;
    call.to = to;
    call.method = method;
    call.path = path;
    call.headers = {{"Content-Type", "application/json"}};
    if (!m_credential.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + m_credential});
    }
    call.body = body;
    call.deadline = std::chrono::steady_clock::now() + answer_timeout;
    std::promise<targets::http_result> promise;
    m_client.send(std::move(call), [&promise](targets::http_result result) {
        promise.set_value(std::move(result));
    });
    return promise.get_future().get();
}

absl::StatusOr<std::string> api_client::call_text(const std::string& method,
                                                  const std::string& path, const std::string& body)
{
    auto result = send(m_host, method, path, body);
    // A credential isn't passed on to another host.
    for (int i = 0; i < max_redirects && m_credential.empty() && result.status == status_redirect;
         ++i) {
        const auto leader = endpoint_in(result.header("Location").value_or(""));
        if (!leader) {
            break;
        }
        result = send(*leader, method, path, body);
    }
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
