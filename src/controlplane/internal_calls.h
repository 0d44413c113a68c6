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
/// Of the operators' command. Followed by a slash and the name of a failure domain for an order.
inline constexpr std::string_view evacuations_path = "/v1/evacuations";

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

/// Why a call between processes got no valid answer, and whether it may have taken effect.
enum class call_failure {
    refused,   ///< nothing listens at the address; it had no effect
    busy,      ///< the process refused the call because of its load; it had no effect
    not_sent,  ///< there was no connection in time; it had no effect
    lost,      ///< the connection ended; it may have had an effect, or may still have one
    timed_out, ///< no answer in time; it may have had an effect, or may still have one
};

inline bool may_have_run(call_failure failure)
{
    return failure == call_failure::lost || failure == call_failure::timed_out;
}

inline call_failure failure_of(const targets::http_result& result)
{
    constexpr unsigned status_unavailable = 503;
    if (result.answered() && result.status == status_unavailable) {
        return call_failure::busy;
    }
    if (!result.maybe_sent) {
        return result.connection_refused ? call_failure::refused : call_failure::not_sent;
    }
    return result.outcome == targets::http_outcome::timed_out ? call_failure::timed_out
                                                              : call_failure::lost;
}

/// Whether a call waits for a connection behind earlier calls to the same process.
enum class call_urgency { ordinary, urgent };

/// Posts `request` to another process of the system and calls `done` on the client's thread with
/// the parsed answer or the failure. A call without an answer in time ends alone: it doesn't tell
/// whether the others on their way to the same process will be answered.
template <class Answer>
void post_message(targets::http_client& client, const std::string& address, std::uint16_t port,
                  std::string_view path, const google::protobuf::MessageLite& request,
                  std::chrono::milliseconds timeout,
                  std::function<void(std::optional<Answer>, call_failure)> done,
                  call_urgency urgency = call_urgency::ordinary)
{
    targets::http_call call;
    call.to = {address, port};
    call.method = "POST";
    call.path = path;
    call.body = request.SerializeAsString();
    call.deadline = std::chrono::steady_clock::now() + timeout;
    call.is_urgent = urgency == call_urgency::urgent;
    client.send(std::move(call), [done = std::move(done)](const targets::http_result& result) {
        Answer answer;
        if (result.answered() && result.status == 200 && answer.ParseFromString(result.body)) {
            done(std::move(answer), call_failure::not_sent);
            return;
        }
        done(std::nullopt, failure_of(result));
    });
}

} // namespace lovagebeam::controlplane
