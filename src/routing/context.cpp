#include "context.h"

#include <algorithm>
#include <cmath>

namespace lovagebeam::routing {
namespace {

/// Bound on the network delay by which a lease may start late at the target. It exceeds the TCP
/// retransmissions of a healthy link.
constexpr base::duration lease_margin = 500ms;

} // namespace

context::context(base::node_id self, const router_settings& chosen, const limits_source& source,
                 std::uint64_t seed)
    : settings{chosen}, limits{&source}, random{seed}, members{std::move(self)}, m_incarnation{
                                                                                     random.next()}
{
}

void context::send(const base::node_id& to, proto::RoutingMessage&& message)
{
    send(to, std::move(message), members.number());
}

void context::send(const base::node_id& to, proto::RoutingMessage&& message, base::epoch number)
{
    message.set_epoch(number.value());
    if (to == members.self()) {
        local.push_back({std::move(message)});
        return;
    }
    if (!to.empty()) {
        emit(send_peer{to, message.SerializeAsString()});
    }
}

void context::make_id(proto::RoutingId& id)
{
    id.set_node(members.self().str());
    id.set_incarnation(m_incarnation);
    id.set_number(m_next_number++);
}

base::duration context::backoff(base::duration base, std::uint32_t step, base::duration cap)
{
    const base::duration limit = std::min(cap, base * (1U << std::min(step, 16U)));
    return base::duration{static_cast<std::int64_t>(
        random.below(static_cast<std::uint64_t>(std::max<std::int64_t>(limit.count(), 1))))};
}

base::duration context::longest_lease() const
{
    return with_drift(limits->longest_deadline());
}

base::duration context::with_drift(base::duration lease) const
{
    const double stretched = static_cast<double>(lease.count()) * (1.0 + settings.clock_drift);
    return base::duration{std::llround(stretched)} + lease_margin;
}

std::string text_of(const proto::RoutingId& id)
{
    return id.node() + '/' + std::to_string(id.incarnation()) + '/' + std::to_string(id.number());
}

std::uint64_t to_ms(base::duration value)
{
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    return ms < 0 ? 0 : static_cast<std::uint64_t>(ms);
}

base::duration from_ms(std::uint64_t value)
{
    constexpr std::uint64_t longest = 24ULL * 3600 * 1000;
    return std::chrono::milliseconds{std::min(value, longest)};
}

proto::TargetState to_proto(const target_info& info)
{
    proto::TargetState state;
    state.set_target(info.target.str());
    state.set_address(info.address);
    state.set_port(info.port);
    state.set_failure_domain(info.failure_domain.str());
    state.set_slots(info.slots);
    state.set_connections(info.connections);
    return state;
}

target_info from_proto(const proto::TargetState& state)
{
    return {base::target_id{state.target()},
            state.address(),
            static_cast<std::uint16_t>(state.port()),
            base::failure_domain{state.failure_domain()},
            state.slots(),
            state.connections()};
}

base::error_code code_from(const std::string& name)
{
    return base::error_code_from_name(name).value_or(base::error_code::internal_error);
}

} // namespace lovagebeam::routing
