#pragma once

#include "lovagebeam/base/types.h"
#include "lovagebeam/settings/process_settings.h"
#include "lovagebeam/targets/http_client.h"

#include <google/protobuf/message_lite.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace lovagebeam::controlplane {

/// Paths of the calls between the system's processes.
inline constexpr std::string_view caller_path = "/v1/caller";
inline constexpr std::string_view sync_path = "/v1/sync";
inline constexpr std::string_view hello_path = "/v1/hello";
inline constexpr std::string_view advice_path = "/v1/advice";

/// Ports of a host for calls between the system's processes.
inline std::uint16_t peer_port(const settings::process_settings& settings)
{
    return settings.first_internal_port;
}
inline std::uint16_t core_port(const settings::process_settings& settings)
{
    return static_cast<std::uint16_t>(settings.first_internal_port + 1);
}
inline std::uint16_t entry_port(const settings::process_settings& settings)
{
    return static_cast<std::uint16_t>(settings.first_internal_port + 2);
}

/// Whether a call between processes that got no valid answer may have taken effect.
enum class call_failure {
    not_sent, ///< it had no effect
    unknown,  ///< it may have had an effect, or may still have one
};

/// Posts `request` to another process of the system and calls `done` on the client's thread with
/// the parsed answer or the failure.
template <class Answer>
void post_message(targets::http_client& client, const std::string& address, std::uint16_t port,
                  std::string_view path, const google::protobuf::MessageLite& request,
                  std::chrono::milliseconds timeout,
                  std::function<void(std::optional<Answer>, call_failure)> done)
{
    targets::http_call call;
    call.to = {address, port};
    call.method = "POST";
    call.path = path;
    call.body = request.SerializeAsString();
    call.deadline = std::chrono::steady_clock::now() + timeout;
    auto* const from = &client;
    client.send(std::move(call), [from, to = targets::endpoint{address, port},
                                  done = std::move(done)](targets::http_result result) {
        Answer answer;
        if (result.answered() && result.status == 200 && answer.ParseFromString(result.body)) {
            done(std::move(answer), call_failure::not_sent);
            return;
        }
        if (result.outcome == targets::http_outcome::timed_out) {
            // The connections may be dead without an error; the next call needs a new one.
            from->close_endpoint(to);
        }
        done(std::nullopt, result.maybe_sent ? call_failure::unknown : call_failure::not_sent);
    });
}

} // namespace lovagebeam::controlplane
