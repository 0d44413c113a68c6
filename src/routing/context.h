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

/// Slots of a home that batch work leaves free: one in 16, rounded, and none below 8 slots. Without
/// them an urgent lookup in a full fleet waits for the next end of work.
constexpr std::uint32_t headroom_of(std::uint32_t slots)
{
    return (slots + 8) / 16;
}

/// A message that this host sends to itself. It is handled in the same step.
struct local_message {
    proto::RoutingMessage message;
};

/// What the parts of a router share during a step.
class context {
public:
    context(base::node_id self, const router_settings& chosen, const limits_source& source,
            std::uint64_t seed);

    template <class Effect>
    void emit(Effect&& item)
    {
        out.emplace_back(std::forward<Effect>(item));
    }

    /// Sends `message` under the present epoch, or under `number`.
    void send(const base::node_id& to, proto::RoutingMessage&& message);
    void send(const base::node_id& to, proto::RoutingMessage&& message, base::epoch number);

    /// Fills a new id of this run of the process.
    void make_id(proto::RoutingId& id);

    /// Returns `base` * 2^step at most `cap`, with full jitter.
    base::duration backoff(base::duration base, std::uint32_t step, base::duration cap);

    [[nodiscard]] bool may_act() const { return members.may_act(now); }

    /// The time after which no attempt that was sent before can still run at a target: the longest
    /// lease, the drift of two clocks, and the time on the network.
    [[nodiscard]] base::duration longest_lease() const;

    /// A lease as seen from another host.
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

    /// Whether this process has just been stopped for a while, so that what it reads now is old.
    [[nodiscard]] bool was_suspended() const { return now - last_tick > 200ms; }

private:
    std::uint64_t m_incarnation;
    std::uint64_t m_next_number = 1;
};

/// Text form of an id: node, incarnation and number.
std::string text_of(const proto::RoutingId& id);

std::uint64_t to_ms(base::duration value);
base::duration from_ms(std::uint64_t value);

proto::TargetState to_proto(const target_info& info);
target_info from_proto(const proto::TargetState& state);

/// Returns the error code with the name in a message.
base::error_code code_from(const std::string& name);

} // namespace lovagebeam::routing
