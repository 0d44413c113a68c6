#include "peer_link.h"

#include "lovagebeam/base/errors.h"

#include <algorithm>
#include <utility>

namespace lovagebeam::peers {
namespace {

// Keeps the doubling of the backoff within the range of its type.
constexpr unsigned max_doublings = 16;

} // namespace

peer_link::peer_link(surroundings& around, std::shared_ptr<peer_record> record,
                     boost::asio::ip::tcp::endpoint remote)
    : m_around{around}, m_record{std::move(record)}, m_remote{std::move(remote)}, m_backoff{
                                                                                      around.io}
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
    m_around.report(m_record->id(), state);
}

void peer_link::dial()
{
    m_fresh = std::make_shared<dialled_link>(m_around.io, m_record, m_around.keys, *this,
                                             m_around.limits, m_around.counters);
    m_links.insert(m_fresh);
    if (!m_active) {
        set_state(connection_state::connecting);
    }
    m_fresh->dial(m_remote, m_around.local);
}

// Exponential backoff with full jitter, so that many nodes don't dial a returning peer at once.
void peer_link::dial_later()
{
    const auto doubled =
        m_around.limits.initial_backoff * (1U << std::min(m_failures, max_doublings));
    const auto most = std::min<std::chrono::milliseconds>(doubled, m_around.limits.max_backoff);
    ++m_failures;
    m_backoff.expires_after(std::chrono::milliseconds{static_cast<std::int64_t>(
        m_around.random.below(static_cast<std::uint64_t>(most.count()) + 1))});
    m_backoff.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self && !self->m_stopping) {
            self->dial();
        }
    });
}

void peer_link::wake()
{
    m_record->wake_handled();
    if (m_active) {
        m_active->wake();
    }
}

void peer_link::on_ready(const std::shared_ptr<dialled_link>& link)
{
    if (m_stopping) {
        return;
    }
    m_fresh = nullptr;
    m_failures = 0;
    if (const auto old = std::exchange(m_active, link)) {
        old->retire(m_around.limits.receive_timeout);
    }
    m_record->set_error(absl::OkStatus());
    m_record->refuse(std::nullopt);
    link->activate();
    set_state(connection_state::connected);
}

// The silent connection is kept, but its fate no longer matters: the peer is judged by whether the
// fresh one succeeds. Queued messages wait for that.
void peer_link::on_silent(const std::shared_ptr<dialled_link>& link)
{
    if (link != m_active || m_stopping) {
        return;
    }
    link->pause();
    set_state(connection_state::silent);
    dial();
}

void peer_link::on_leaving(const std::shared_ptr<dialled_link>& link)
{
    if (link != m_active || m_stopping) {
        return;
    }
    m_record->refuse(base::error_code::not_connected);
    link->drain(m_around.limits.stop_timeout);
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
    if (link == m_fresh) {
        ++m_around.counters.dial_failures;
        m_fresh = nullptr;
        lose(why);
    }
    else if (link == m_active) {
        m_active = nullptr;
        if (!m_fresh) {
            lose(why);
        }
    }
}

void peer_link::lose(const absl::Status& why)
{
    m_record->refuse(base::error_code::not_connected);
    m_record->drop_queues();
    m_record->set_error(why);
    if (const auto old = std::exchange(m_active, nullptr)) {
        old->close(why);
    }
    set_state(connection_state::disconnected);
    dial_later();
}

void peer_link::stop(std::chrono::milliseconds limit)
{
    m_stopping = true;
    m_backoff.cancel();
    m_record->refuse(base::error_code::shutting_down);
    const auto links = m_links;
    for (const auto& each : links) {
        if (each == m_active) {
            each->drain(limit);
        }
        else if (each == m_fresh) {
            each->close(base::make_error(base::error_code::shutting_down, "stopping"));
        }
    }
    m_fresh = nullptr;
    if (m_links.empty()) {
        m_record->drop_queues();
        set_state(connection_state::disconnected);
    }
}

void peer_link::close_now()
{
    m_stopping = true;
    m_backoff.cancel();
    m_record->refuse(base::error_code::shutting_down);
    const auto links = m_links;
    for (const auto& each : links) {
        each->close(base::make_error(base::error_code::shutting_down, "stopping"));
    }
    m_active = nullptr;
    m_fresh = nullptr;
    m_record->drop_queues();
}

} // namespace lovagebeam::peers
