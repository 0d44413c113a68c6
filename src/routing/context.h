#pragma once

#include "lovagebeam/base/random_source.h"
#include "lovagebeam/routing/effects.h"
#include "lovagebeam/routing/limits.h"
#include "lovagebeam/routing/router.h"

#include "membership.h"
#include "routing.pb.h"

#include <chrono>
#include <deque>
#include <string>
#include <utility>

namespace lovagebeam::routing {

using namespace std::chrono_literals;

/// Returns the number of slots of a home that batch work leaves free: one in 16, rounded, and none
/// below 8 slots. Without them, an urgent lookup in a full fleet waits until an attempt ends.
constexpr std::uint32_t headroom_of(std::uint32_t slots)
{
    return (slots + 8) / 16;
}

/// A message from this host to itself. It is processed in the same step.
struct local_message {
    proto::RoutingMessage message;
};

/// State that the components of a router share during a step.
class context {
public:
    context(base::node_id self, const router_settings& chosen, const limits_source& source,
            std::uint64_t seed);

    template <class Effect>
    void emit(Effect&& item)
    {
        out.emplace_back(std::forward<Effect>(item));
    }

    /// Sends `message` with the current epoch, or with `number`.
    void send(const base::node_id& to, proto::RoutingMessage&& message);
    void send(const base::node_id& to, proto::RoutingMessage&& message, base::epoch number);

    /// Fills `id` with a new id of this instance of the process.
    void make_id(proto::RoutingId& id);

    /// Returns a random delay below min(`cap`, `base` * 2^step) (full jitter).
    base::duration backoff(base::duration base, std::uint32_t step, base::duration cap);

    [[nodiscard]] bool may_act() const { return members.may_act(now); }

    /// Returns the time after which no attempt sent earlier can still run at a target: the longest
    /// lease, plus the clock drift between two hosts and the network delay.
    [[nodiscard]] base::duration longest_lease() const;

    /// Returns the time after which a lease has surely expired on another host: the lease plus
    /// clock drift and network delay.
    [[nodiscard]] base::duration with_drift(base::duration lease) const;

    router_settings settings;
    const limits_source* limits;
    base::random_source random;
    membership members;
    base::time_point now;
    effects out;
    std::deque<local_message> local;
    bool is_shutting_down = false;
    base::time_point last_tick;

    /// Whether this process was suspended recently, so that input read now may be outdated.
    [[nodiscard]] bool was_suspended() const { return now - last_tick > 200ms; }

private:
    std::uint64_t m_incarnation;
    std::uint64_t m_next_number = 1;
};

/// Returns the text form of an id: node/incarnation/number.
std::string text_of(const proto::RoutingId& id);

std::uint64_t to_ms(base::duration value);
base::duration from_ms(std::uint64_t value);

proto::TargetState to_proto(const target_info& info);
target_info from_proto(const proto::TargetState& state);

/// Returns the error code with this name, or `internal_error` if there is none.
base::error_code code_from(const std::string& name);

} // namespace lovagebeam::routing
