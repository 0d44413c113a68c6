#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <mutex>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

/// Fake clients and servers on loopback sockets. They block on their own threads; every wait is
/// bounded by a limit far above what a loaded machine needs.
namespace lovagebeam::test {

using tcp_socket = boost::asio::ip::tcp::socket;

inline constexpr std::chrono::seconds test_timeout{20};

/// Waits until `condition` holds. Returns false when it doesn't within `limit`.
inline bool wait_until(const std::function<bool()>& condition,
                       std::chrono::milliseconds limit = test_timeout)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{2});
    }
    return true;
}

inline boost::asio::ip::tcp::endpoint loopback(std::uint16_t port)
{
    return {boost::asio::ip::address_v4::loopback(), port};
}

/// Returns the bytes that have arrived; empty at the end of the connection or after `limit`.
inline std::string read_some(tcp_socket& socket, std::chrono::milliseconds limit = test_timeout)
{
    pollfd waiting{.fd = socket.native_handle(), .events = POLLIN, .revents = 0};
    if (::poll(&waiting, 1, static_cast<int>(limit.count())) <= 0) {
        return {};
    }
    std::array<char, 16384> buffer{};
    boost::system::error_code ec;
    const std::size_t count = socket.read_some(boost::asio::buffer(buffer), ec);
    return {buffer.data(), ec ? 0 : count};
}

inline bool write_all(tcp_socket& socket, std::string_view text)
{
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(text.data(), text.size()), ec);
    return !ec;
}

/// Makes closing the socket send a reset instead of a FIN.
inline void reset_at_close(tcp_socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
}

/// A client that sends the given bytes unchanged.
class raw_client {
public:
    explicit raw_client(std::uint16_t port) : m_socket{m_io} { m_socket.connect(loopback(port)); }

    bool send(std::string_view text) { return write_all(m_socket, text); }

    /// Reads one response with Content-Length and keeps the bytes after it for the next call.
    std::string read_answer()
    {
        while (true) {
            const auto header_end = m_received.find("\r\n\r\n");
            if (header_end != std::string::npos) {
                const std::size_t whole = header_end + 4 + content_length(header_end);
                if (m_received.size() >= whole) {
                    std::string answer = m_received.substr(0, whole);
                    m_received.erase(0, whole);
                    return answer;
                }
            }
            const std::string more = read_some(m_socket);
            if (more.empty()) {
                return std::exchange(m_received, {});
            }
            m_received += more;
        }
    }

    /// Reads until the server closes the connection. Returns false when it doesn't in time.
    bool closed_by_server()
    {
        const auto end = std::chrono::steady_clock::now() + test_timeout;
        while (std::chrono::steady_clock::now() < end) {
            pollfd waiting{.fd = m_socket.native_handle(), .events = POLLIN, .revents = 0};
            if (::poll(&waiting, 1, 100) > 0 && read_some(m_socket).empty()) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] tcp_socket& socket() { return m_socket; }

private:
    [[nodiscard]] std::size_t content_length(std::size_t header_end) const
    {
        constexpr std::string_view name = "Content-Length: ";
        const auto found = m_received.substr(0, header_end).find(name);
        return found == std::string::npos ? 0 : std::stoul(m_received.substr(found + name.size()));
    }

    boost::asio::io_context m_io;
    tcp_socket m_socket;
    std::string m_received;
};

/// A server that runs a script for each connection on a separate thread. Connections are numbered
/// from 0. The connection is closed when the script returns; the script itself must not close it,
/// because the destructor ends the scripts by shutting down the open connections.
class scripted_server {
public:
    using script = std::function<void(tcp_socket&, int number)>;

    explicit scripted_server(script run)
        : m_acceptor{m_io, loopback(0)}, m_port{m_acceptor.local_endpoint().port()},
          m_script{std::move(run)}, m_thread{[this] { accept_all(); }}
    {
    }

    ~scripted_server()
    {
        m_stopping = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        {
            const std::lock_guard lock{m_mutex};
            for (auto& each : m_connections) {
                if (each->is_open()) {
                    ::shutdown(each->native_handle(), SHUT_RDWR);
                }
            }
        }
        for (auto& each : m_threads) {
            each.join();
        }
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    [[nodiscard]] int accepted() const { return m_accepted; }

private:
    void accept_all()
    {
        while (!m_stopping) {
            boost::system::error_code ec;
            auto socket = std::make_shared<tcp_socket>(m_io);
            m_acceptor.accept(*socket, ec);
            if (ec) {
                continue;
            }
            const std::lock_guard lock{m_mutex};
            m_connections.push_back(socket);
            m_threads.emplace_back(
                [this, socket, number = m_accepted++] { run_script(*socket, number); });
        }
    }

    void run_script(tcp_socket& socket, int number)
    {
        m_script(socket, number);
        const std::lock_guard lock{m_mutex};
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    script m_script;
    std::atomic<bool> m_stopping{false};
    std::atomic<int> m_accepted{0};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<tcp_socket>> m_connections;
    std::list<std::thread> m_threads;
    std::thread m_thread;
};

/// Returns one request with an optional Content-Length; empty at the end of the connection.
inline std::string read_request(tcp_socket& socket)
{
    std::string text;
    while (true) {
        const auto header_end = text.find("\r\n\r\n");
        if (header_end != std::string::npos) {
            const auto found = text.find("Content-Length: ");
            const std::size_t length =
                found == std::string::npos ? 0 : std::stoul(text.substr(found + 16));
            if (text.size() >= header_end + 4 + length) {
                return text;
            }
        }
        const std::string more = read_some(socket);
        if (more.empty()) {
            return {};
        }
        text += more;
    }
}

/// A proxy that forwards connections to a port. `silence` makes the existing connections silent:
/// they stay open, but bytes from either side are dropped. New connections work.
class silent_relay {
public:
    explicit silent_relay(std::uint16_t target)
        : m_server{
              [this, target](tcp_socket& client, int number) { forward(client, target, number); }}
    {
    }

    void silence() { m_silent_below = m_server.accepted(); }

    /// Makes all connections silent, including new ones.
    void silence_all() { m_silent_below = std::numeric_limits<int>::max(); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    [[nodiscard]] int accepted() const { return m_server.accepted(); }

private:
    void forward(tcp_socket& client, std::uint16_t target, int number)
    {
        boost::asio::io_context io;
        tcp_socket server{io};
        boost::system::error_code ec;
        server.connect(loopback(target), ec);
        if (ec) {
            reset_at_close(client);
            return;
        }
        std::array<pollfd, 2> waiting{};
        waiting[0] = {.fd = client.native_handle(), .events = POLLIN, .revents = 0};
        waiting[1] = {.fd = server.native_handle(), .events = POLLIN, .revents = 0};
        while (::poll(waiting.data(), waiting.size(), 60'000) > 0) {
            const bool from_client = waiting[0].revents != 0;
            const std::string bytes = read_some(from_client ? client : server);
            if (bytes.empty()) {
                break;
            }
            if (number >= m_silent_below) {
                write_all(from_client ? server : client, bytes);
            }
        }
        ::shutdown(client.native_handle(), SHUT_RDWR);
    }

    std::atomic<int> m_silent_below{0};
    scripted_server m_server;
};

} // namespace lovagebeam::test
