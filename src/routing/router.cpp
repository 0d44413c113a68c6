#include "lovagebeam/routing/router.h"

#include "context.h"
#include "entry_table.h"
#include "epoch_sync.h"
#include "invariant.h"
#include "target_home.h"
#include "target_registry.h"
#include "team_owner.h"

#include <deque>

namespace lovagebeam::routing {

class router::implementation {
public:
    implementation(base::node_id self, const router_settings& settings, const limits_source& limits,
                   std::uint64_t seed)
        : m_shared{std::move(self), settings, limits, seed}, m_entry{m_shared}, m_owner{m_shared},
          m_home{m_shared, m_registry}, m_sync{m_shared, m_registry, m_home, m_owner}
    {
    }

    effects step(base::time_point now, event&& input)
    {
        m_shared.now = std::max(m_shared.now, now);
        std::visit([this](auto&& item) { handle(std::forward<decltype(item)>(item)); },
                   std::move(input));
        handle_local();
        check_drained();
        return std::exchange(m_shared.out, {});
    }

    [[nodiscard]] router_stats stats() const;

private:
    void handle(tick&&);
    void handle(caller_request&& item) { m_entry.on_request(std::move(item)); }
    void handle(caller_disconnected&& item) { m_entry.on_caller_disconnected(item.caller); }
    void handle(result_query&& item) { m_entry.on_query(item); }
    void handle(peer_message&& item);
    void handle(peer_lost&& item) { m_entry.on_peer_lost(item.peer); }
    void handle(target_announced&& item);
    void handle(attempt_ended&& item) { m_home.on_attempt_ended(std::move(item)); }
    void handle(fence_answered&& item) { m_home.on_fence_answered(item); }
    void handle(query_answered&& item) { m_home.on_query_answered(std::move(item)); }
    void handle(epoch_installed&& item);
    void handle(leader_contact&& item)
    {
        m_shared.members.extend_lease(item.request_sent_at + m_shared.settings.member_lease);
    }
    void handle(intent_committed&& item) { m_owner.on_intent_committed(item); }
    void handle(limits_changed&&)
    {
        m_home.on_limits_changed();
        m_owner.on_limits_changed();
    }
    void handle(shutdown_requested&&)
    {
        m_shared.is_shutting_down = true;
        m_home.announce_leaving();
    }

    void handle_local();
    void receive(const base::node_id& from, proto::RoutingMessage&& message);
    void route(const base::node_id& from, base::epoch number, proto::RoutingMessage&& message);
    void route_submission(const base::node_id& from, base::epoch number,
                          proto::RoutingMessage&& message);
    void route_attempt(const base::node_id& from, base::epoch number,
                       proto::RoutingMessage&& message);
    void route_membership(const base::node_id& from, proto::RoutingMessage&& message);
    void check_drained();

    struct early_message {
        base::node_id from;
        proto::RoutingMessage message;
    };

    context m_shared;
    target_registry m_registry;
    entry_table m_entry;
    team_owner m_owner;
    target_home m_home;
    epoch_sync m_sync;
    std::deque<early_message> m_early_messages; ///< Messages of epochs not installed yet.
    bool m_is_drained = false;
};

void router::implementation::handle(tick&&)
{
    m_shared.last_tick = m_shared.now;
    m_sync.on_tick();
    m_home.on_tick();
    m_owner.on_tick();
    m_entry.on_tick();
}

void router::implementation::handle(epoch_installed&& item)
{
    if (!m_shared.members.install(item.number, std::move(item.members), item.is_self_joined)) {
        return;
    }
    m_home.on_epoch_installed();
    m_owner.on_epoch_installed(std::move(item.intents));
    m_entry.on_epoch_installed();
    m_sync.on_epoch_installed();
    auto early = std::exchange(m_early_messages, {});
    for (auto& delayed : early) {
        receive(delayed.from, std::move(delayed.message));
    }
}

void router::implementation::handle(target_announced&& item)
{
    if (m_shared.was_suspended()) {
        // The announcement may be outdated: the target may have announced since that it leaves.
        return;
    }
    proto::RoutingMessage message;
    auto& announcement = *message.mutable_target_announcement();
    m_shared.make_id(*announcement.mutable_id());
    *announcement.mutable_target() = to_proto(item.info);
    announcement.set_leaving(item.leaving);
    m_shared.send(m_shared.members.home_of(item.info.target.str()), std::move(message));
}

void router::implementation::handle(peer_message&& item)
{
    proto::RoutingMessage message;
    if (message.ParseFromString(item.bytes)) {
        receive(item.from, std::move(message));
    }
}

void router::implementation::handle_local()
{
    while (!m_shared.local.empty()) {
        local_message next = std::move(m_shared.local.front());
        m_shared.local.pop_front();
        receive(m_shared.members.self(), std::move(next.message));
    }
}

void router::implementation::receive(const base::node_id& from, proto::RoutingMessage&& message)
{
    const base::epoch number{message.epoch()};
    if (number.value() <= m_shared.members.number().value()) {
        route(from, number, std::move(message));
    }
    else if (m_early_messages.size() < m_shared.settings.early_message_limit) {
        m_early_messages.push_back({from, std::move(message)});
    }
    else if (message.has_submit()) {
        m_owner.refuse_unready(from, message.submit());
    }
    // Other messages are dropped; their senders retransmit them.
}

void router::implementation::route(const base::node_id& from, base::epoch number,
                                   proto::RoutingMessage&& message)
{
    using kind = proto::RoutingMessage;
    const auto content = message.content_case();
    if (content >= kind::kSubmit && content <= kind::kLookupAnswer) {
        route_submission(from, number, std::move(message));
    }
    else if (content >= kind::kDispatch && content <= kind::kTargetAnnouncement) {
        route_attempt(from, number, std::move(message));
    }
    else if (number == m_shared.members.number()) {
        route_membership(from, std::move(message));
    }
}

void router::implementation::route_submission(const base::node_id& from, base::epoch number,
                                              proto::RoutingMessage&& message)
{
    using kind = proto::RoutingMessage;
    switch (message.content_case()) {
    case kind::kSubmit:
        return m_owner.on_submit(from, number, std::move(*message.mutable_submit()));
    case kind::kSubmitAccepted:
        return m_entry.on_accepted(message.submit_accepted());
    case kind::kSubmitPoll:
        return m_owner.on_poll(from, message.submit_poll());
    case kind::kSubmitEnded:
        return m_entry.on_ended(from, std::move(*message.mutable_submit_ended()));
    case kind::kSubmitEndedAck:
        return m_owner.on_ended_ack(message.submit_ended_ack());
    case kind::kLookup:
        return m_owner.on_lookup(from, message.lookup());
    case kind::kLookupAnswer:
        return m_entry.on_lookup_answer(std::move(*message.mutable_lookup_answer()));
    default:
        return;
    }
}

void router::implementation::route_attempt(const base::node_id& from, base::epoch number,
                                           proto::RoutingMessage&& message)
{
    using kind = proto::RoutingMessage;
    switch (message.content_case()) {
    case kind::kDispatch:
        return m_home.on_dispatch(from, number, std::move(*message.mutable_dispatch()));
    case kind::kAttemptProgress:
        return m_owner.on_progress(from, number, message.attempt_progress());
    case kind::kProceed:
        return m_home.on_proceed(from, message.proceed());
    case kind::kAttemptPoll:
        return m_home.on_poll(from, number, message.attempt_poll());
    case kind::kAttemptEnded:
        return m_owner.on_attempt_ended(from, number, std::move(*message.mutable_attempt_ended()));
    case kind::kAttemptEndedAck:
        return m_home.on_ended_ack(from, message.attempt_ended_ack());
    case kind::kResolve:
        return m_home.on_resolve(from, message.resolve());
    case kind::kTargetAnnouncement:
        return m_home.on_announcement(message.target_announcement());
    default:
        return;
    }
}

void router::implementation::route_membership(const base::node_id& from,
                                              proto::RoutingMessage&& message)
{
    using kind = proto::RoutingMessage;
    switch (message.content_case()) {
    case kind::kHomeTargets:
        return m_sync.on_home_targets(from, message.home_targets());
    case kind::kHomeTargetsAck:
        return m_home.on_targets_ack(from, message.home_targets_ack());
    case kind::kHomeStatus:
        if (message.home_status().leaving()) {
            m_sync.on_leaving(from);
        }
        return m_owner.on_status(from, message.home_status());
    case kind::kEpochTargets:
        return m_sync.on_targets(from, message.epoch_targets());
    case kind::kEpochTargetsAck:
        return m_sync.on_targets_ack(from);
    case kind::kEpochReport:
        return m_sync.on_report(from, std::move(*message.mutable_epoch_report()));
    case kind::kEpochReportAck:
        return m_sync.on_report_ack(from, message.epoch_report_ack());
    default:
        return;
    }
}

void router::implementation::check_drained()
{
    if (m_shared.is_shutting_down && !m_is_drained && !m_shared.members.is_joined() &&
        m_sync.is_handed_over() && m_entry.size() == 0 && m_owner.is_idle() && m_home.is_idle()) {
        m_is_drained = true;
        m_shared.emit(drained{});
    }
}

router_stats router::implementation::stats() const
{
    router_stats result;
    result.number = m_shared.members.number();
    result.is_lease_valid = m_shared.members.is_lease_valid(m_shared.now);
    result.is_ready = m_sync.is_complete();
    result.callers_waiting = m_entry.size();
    result.owned_teams = m_owner.team_count();
    result.owner_waiting = m_owner.waiting_count();
    result.owner_running = m_owner.outstanding_count();
    result.stored_results = m_owner.stored_count();
    result.home_targets = m_home.target_count();
    result.home_waiting = m_home.waiting_count();
    result.home_running = m_home.running_count();
    result.home_ejected = m_home.ejected_count();
    result.known_targets = m_registry.count();
    return result;
}

router::router(std::unique_ptr<implementation> impl) : m_impl{std::move(impl)} {}
router::router(router&&) noexcept = default;
router& router::operator=(router&&) noexcept = default;
router::~router() = default;

effects router::step(base::time_point now, event input)
{
    return m_impl->step(now, std::move(input));
}

router_stats router::stats() const
{
    return m_impl->stats();
}

router_builder& router_builder::with_settings(const router_settings& settings)
{
    m_settings = settings;
    return *this;
}

router_builder& router_builder::with_limits(const limits_source& limits)
{
    m_limits = &limits;
    return *this;
}

router_builder& router_builder::with_seed(std::uint64_t seed)
{
    m_seed = seed;
    return *this;
}

router router_builder::build() const
{
    check_invariant(m_limits != nullptr, "router_has_limits", m_self.str());
    return router{std::make_unique<router::implementation>(m_self, m_settings, *m_limits, m_seed)};
}

} // namespace lovagebeam::routing
