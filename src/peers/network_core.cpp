#include "network_core.h"

#include "lovagebeam/base/clock.h"
#include "lovagebeam/base/errors.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <mutex>
#include <utility>

namespace lovagebeam::peers {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using base::error_code;
using base::make_error;

// Delay after a failed accept. Without it, retries would spin while file descriptors are exhausted.
constexpr std::chrono::milliseconds accept_retry_delay{20};

asio::ip::address normalized(const asio::ip::address& address)
{
    if (address.is_v6() && address.to_v6().is_v4_mapped()) {
        return asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6());
    }
    return address;
}

tcp::endpoint endpoint_of(const peer_address& peer)
{
    boost::system::error_code ec;
    return {normalized(asio::ip::make_address(peer.address, ec)), peer.port};
}

} // namespace

network_core::network_core(network_settings settings)
    : m_settings{std::move(settings)}, m_keys{m_settings.id, m_settings.secret},
      m_random{m_settings.seed}, m_work{asio::make_work_guard(m_io)},
      m_context{.io = m_io,
                .keys = m_keys,
                .limits = m_settings.limits,
                .counters = m_counters,
                .random = m_random,
                .local = m_settings.listen.address(),
                .report = [this](const base::node_id& peer, connection_state state) {
                    m_settings.handler->on_state(peer, state);
                }}
{
}

network_core::~network_core()
{
    stop();
}

absl::Status network_core::start()
{
    boost::system::error_code ec;
    m_acceptor.open(m_settings.listen.protocol(), ec);
    if (!ec) {
        m_acceptor.set_option(tcp::acceptor::reuse_address{true}, ec);
    }
    if (!ec) {
        m_acceptor.bind(m_settings.listen, ec);
    }
    if (!ec) {
        m_acceptor.listen(tcp::acceptor::max_listen_connections, ec);
    }
    if (ec) {
        return make_error(error_code::connect_failed,
                          "cannot listen on " + m_settings.listen.address().to_string() + ":" +
                              std::to_string(m_settings.listen.port()) + ": " + ec.message());
    }
    m_port = m_acceptor.local_endpoint().port();
    asio::post(m_io, [this] { apply_peers(m_settings.peers); });
    accept_next();
    m_thread = std::thread{[this] { m_io.run(); }};
    return absl::OkStatus();
}

void network_core::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    asio::post(m_io, [this] { begin_stop(); });
    m_thread.join();
}

std::shared_ptr<peer_link> network_core::find(const base::node_id& peer) const
{
    const std::shared_lock lock{m_directory_mutex};
    const auto found = m_directory.find(peer);
    return found == m_directory.end() ? nullptr : found->second;
}

absl::Status network_core::send(const base::node_id& peer, channel which, std::string bytes)
{
    const auto link = find(peer);
    if (!link) {
        return make_error(error_code::not_connected, "unknown peer " + peer.str());
    }
    bool wake = false;
    absl::Status status = link->record().push(which, std::move(bytes), wake);
    if (wake) {
        asio::post(m_io, [link] { link->wake(); });
    }
    return status;
}

void network_core::update_peers(std::vector<peer_address> peers)
{
    asio::post(m_io, [this, peers = std::move(peers)] { apply_peers(peers); });
}

void network_core::apply_peers(const std::vector<peer_address>& peers)
{
    if (m_stopping) {
        return;
    }
    remove_unlisted(peers);
    for (const auto& peer : peers) {
        if (peer.id == m_settings.id || find(peer.id)) {
            continue;
        }
        const auto added = std::make_shared<peer_link>(
            m_context, std::make_shared<peer_record>(peer.id, m_settings.limits),
            endpoint_of(peer));
        {
            const std::unique_lock lock{m_directory_mutex};
            m_directory.emplace(peer.id, added);
        }
        added->start();
    }
}

void network_core::remove_unlisted(const std::vector<peer_address>& peers)
{
    std::vector<std::shared_ptr<peer_link>> removed;
    {
        const std::unique_lock lock{m_directory_mutex};
        for (auto each = m_directory.begin(); each != m_directory.end();) {
            const bool kept = std::ranges::any_of(peers, [&each](const peer_address& peer) {
                return peer.id == each->first && endpoint_of(peer) == each->second->remote();
            });
            if (kept) {
                ++each;
                continue;
            }
            removed.push_back(each->second);
            each = m_directory.erase(each);
        }
    }
    for (const auto& link : removed) {
        close_link(link);
    }
}

void network_core::close_link(const std::shared_ptr<peer_link>& link)
{
    m_closing_links.insert(link);
    const auto accepted = m_accepted;
    for (const auto& each : accepted) {
        if (each->peer().get() == &link->record()) {
            each->close(make_error(error_code::not_connected,
                                   "the peer was removed from the list of peers"));
        }
    }
    // `on_ended` is called by the link itself, so the link is freed after the call returns.
    link->on_ended = [this, weak = std::weak_ptr{link}] {
        asio::post(m_io, [this, weak] { m_closing_links.erase(weak.lock()); });
    };
    link->close_now();
    if (link->ended()) {
        m_closing_links.erase(link);
    }
}

void network_core::accept_next()
{
    m_acceptor.async_accept([this](boost::system::error_code ec, tcp::socket socket) {
        if (!m_acceptor.is_open()) {
            return;
        }
        if (!ec) {
            add_connection(std::move(socket));
            accept_next();
            return;
        }
        m_accept_timer.expires_after(accept_retry_delay);
        m_accept_timer.async_wait([this](boost::system::error_code waited) {
            if (!waited && m_acceptor.is_open()) {
                accept_next();
            }
        });
    });
}

bool network_core::is_configured(const asio::ip::address& address) const
{
    const std::shared_lock lock{m_directory_mutex};
    return std::ranges::any_of(m_directory, [&address](const auto& entry) {
        return entry.second->remote().address() == address;
    });
}

void network_core::add_connection(tcp::socket socket)
{
    boost::system::error_code ec;
    const auto address = normalized(socket.remote_endpoint(ec).address());
    if (ec) {
        return;
    }
    if (!is_configured(address)) {
        ++m_counters.addresses_refused;
        return;
    }
    if (m_accepted.size() >= m_settings.limits.max_accepted_connections) {
        return;
    }
    const auto added = std::make_shared<accepted_link>(m_io, std::move(socket), address, *this,
                                                       m_settings.limits, m_counters);
    m_accepted.insert(added);
    added->start();
}

absl::StatusOr<std::shared_ptr<peer_record>>
network_core::authenticate(const hello& received, const asio::ip::address& address)
{
    const auto link = find(base::node_id{received.node});
    if (!link) {
        return make_error(error_code::unauthenticated, "unknown node");
    }
    if (link->remote().address() != address) {
        return make_error(error_code::unauthenticated, "the node's address is another one");
    }
    const absl::Status status = m_keys.check(received, base::wall_now());
    if (!status.ok()) {
        return status;
    }
    return std::shared_ptr<peer_record>{link, &link->record()};
}

void network_core::on_message(peer_record& from, channel which, std::string bytes)
{
    m_settings.handler->on_message(from.id(), which, std::move(bytes));
}

void network_core::on_accepted_closed(const std::shared_ptr<accepted_link>& link)
{
    m_accepted.erase(link);
    check_stopped();
}

void network_core::begin_stop()
{
    m_stopping = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel();
    m_stop_timer.expires_after(m_settings.limits.stop_timeout);
    m_stop_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec) {
            force_stop();
        }
    });
    for (const auto& [id, link] : m_directory) {
        link->on_ended = [this] { check_stopped(); };
        link->stop(m_settings.limits.stop_timeout);
    }
    const auto accepted = m_accepted;
    for (const auto& each : accepted) {
        if (each->peer()) {
            each->send_shutdown_notice();
        }
        else {
            each->close(make_error(error_code::shutting_down, "the network is stopping"));
        }
    }
    check_stopped();
}

void network_core::force_stop()
{
    for (const auto& [id, link] : m_directory) {
        link->close_now();
    }
    const auto accepted = m_accepted;
    for (const auto& each : accepted) {
        each->close(make_error(error_code::shutting_down, "the network is stopping"));
    }
    check_stopped();
}

// Once the work guard is released, the thread ends after the last pending operation.
void network_core::check_stopped()
{
    if (!m_stopping || !m_accepted.empty() ||
        !std::ranges::all_of(m_directory,
                             [](const auto& entry) { return entry.second->ended(); })) {
        return;
    }
    m_stop_timer.cancel();
    m_work.reset();
}

} // namespace lovagebeam::peers
