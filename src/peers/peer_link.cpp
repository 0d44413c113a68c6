#include "peer_link.h"

#include "lovagebeam/base/errors.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::peers {
namespace {

// Prevents an overflow when the backoff is doubled.
constexpr unsigned max_doublings = 16;

} // namespace

peer_link::peer_link(link_context& context, std::shared_ptr<peer_record> record,
                     boost::asio::ip::tcp::endpoint remote)
    : m_context{context}, m_record{std::move(record)}, m_remote{std::move(remote)}, m_backoff{
                                                                                        context.io}
{
}

void peer_link::start()
{
    dial();
}

void peer_link::set_state(connection_state state)
{
    if (m_record->state() == state) {
        return;
    }
    m_record->set_state(state);
    m_context.report(m_record->id(), state);
}

void peer_link::dial()
{
    m_pending = std::make_shared<dialled_link>(m_context.io, m_record, m_context.keys, *this,
                                               m_context.limits, m_context.counters);
    m_links.insert(m_pending);
    if (!m_active) {
        set_state(connection_state::connecting);
    }
    m_pending->dial(m_remote, m_context.local);
}

// Exponential backoff with full jitter, so that many nodes don't dial a restarted peer at the same
// time.
void peer_link::schedule_dial()
{
    const auto doubled =
        m_context.limits.initial_backoff * (1U << std::min(m_failures, max_doublings));
    const auto most = std::min<std::chrono::milliseconds>(doubled, m_context.limits.max_backoff);
    ++m_failures;
    m_backoff.expires_after(std::chrono::milliseconds{static_cast<std::int64_t>(
        m_context.random.below(static_cast<std::uint64_t>(most.count()) + 1))});
    m_backoff.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_stopping) {
            self->dial();
        }
    });
}

void peer_link::wake()
{
    m_record->clear_wake_request();
    if (m_active) {
        m_active->wake();
    }
}

void peer_link::on_ready(const std::shared_ptr<dialled_link>& link)
{
    if (m_stopping) {
        return;
    }
    m_pending = nullptr;
    m_failures = 0;
    if (const auto old = std::exchange(m_active, link)) {
        old->retire(m_context.limits.receive_timeout);
    }
    m_record->set_error(absl::OkStatus());
    m_record->set_refusal(std::nullopt);
    link->activate();
    set_state(connection_state::connected);
}

// The silent connection stays open, but whether it recovers no longer matters: the peer is
// considered connected if the replacement connection succeeds. Queued messages wait for that.
void peer_link::on_silent(const std::shared_ptr<dialled_link>& link)
{
    if (link != m_active || m_stopping) {
        return;
    }
    link->pause();
    set_state(connection_state::silent);
    dial();
}

void peer_link::on_peer_closing(const std::shared_ptr<dialled_link>& link)
{
    if (link != m_active || m_stopping) {
        return;
    }
    m_record->set_refusal(base::error_code::not_connected);
    link->drain(m_context.limits.stop_timeout);
    set_state(connection_state::disconnected);
}

void peer_link::on_dialled_closed(const std::shared_ptr<dialled_link>& link,
                                  const absl::Status& why)
{
    m_links.erase(link);
    if (m_stopping) {
        if (link == m_active) {
            m_active = nullptr;
            m_record->drop_queues();
        }
        if (m_links.empty() && on_ended) {
            set_state(connection_state::disconnected);
            on_ended();
        }
        return;
    }
    if (link == m_pending) {
        ++m_context.counters.dial_failures;
        m_pending = nullptr;
        handle_connection_loss(why);
    }
    else if (link == m_active) {
        m_active = nullptr;
        if (!m_pending) {
            handle_connection_loss(why);
        }
    }
}

void peer_link::handle_connection_loss(const absl::Status& why)
{
    m_record->set_refusal(base::error_code::not_connected);
    m_record->drop_queues();
    m_record->set_error(why);
    if (const auto old = std::exchange(m_active, nullptr)) {
        old->close(why);
    }
    set_state(connection_state::disconnected);
    schedule_dial();
}

void peer_link::stop(std::chrono::milliseconds limit)
{
    m_stopping = true;
    m_backoff.cancel();
    m_record->set_refusal(base::error_code::shutting_down);
    const auto links = m_links;
    for (const auto& each : links) {
        if (each == m_active) {
            each->drain(limit);
        }
        else if (each == m_pending) {
            each->close(
                base::make_error(base::error_code::shutting_down, "the network is stopping"));
        }
    }
    m_pending = nullptr;
    if (m_links.empty()) {
        m_record->drop_queues();
        set_state(connection_state::disconnected);
    }
}

void peer_link::close_now()
{
    m_stopping = true;
    m_backoff.cancel();
    m_record->set_refusal(base::error_code::shutting_down);
    const auto links = m_links;
    for (const auto& each : links) {
        each->close(base::make_error(base::error_code::shutting_down, "the network is stopping"));
    }
    m_active = nullptr;
    m_pending = nullptr;
    m_record->drop_queues();
}

} // namespace lovagebeam::peers
