#pragma once

#include "handshake.h"
#include "http2_link.h"
#include "message_framing.h"
#include "peer_record.h"

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lovagebeam::peers {

class accepted_link;

/// Authenticates the peers of accepted connections and receives their messages.
class accepted_owner {
public:
    virtual ~accepted_owner() = default;

    /// Checks a hello that was received from `address` and returns its sender.
    virtual absl::StatusOr<std::shared_ptr<peer_record>>
    authenticate(const hello& received, const boost::asio::ip::address& address) = 0;

    virtual void on_message(peer_record& from, channel which, std::string bytes) = 0;
    virtual void on_accepted_closed(const std::shared_ptr<accepted_link>& link) = 0;
};

/// A connection that a peer has dialled. It carries messages to this node only.
class accepted_link : public http2_link {
public:
    accepted_link(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                  boost::asio::ip::address remote, accepted_owner& owner, const peer_limits& limits,
                  live_counters& counters);

    void start();

    /// Sends GOAWAY. The peer then sends its remaining messages and closes the connection.
    void send_shutdown_notice();

    /// Returns the peer of this connection, or null before the handshake.
    [[nodiscard]] const std::shared_ptr<peer_record>& peer() const { return m_peer; }

protected:
    void on_header(std::int32_t stream, std::string_view name, std::string_view value) override;
    void on_headers_end(std::int32_t stream) override;
    void on_data(std::int32_t stream, std::string_view bytes) override;
    void on_end(std::int32_t stream) override;
    void on_stream_closed(std::int32_t stream) override { m_streams.erase(stream); }
    void on_ping_ack() override {}
    void on_goaway() override {}
    std::size_t produce_data(std::int32_t stream, char* buffer, std::size_t size,
                             bool& end) override;
    void on_closed(const absl::Status& why) override;

private:
    struct incoming_stream {
        std::string path;
        hello received_hello;
        std::optional<channel> which; ///< Set once the handshake is accepted.
        message_decoder decoder;
        bool ended = false;
    };

    absl::Status accept_stream(incoming_stream& stream);
    void send_handshake_result(std::int32_t stream, const absl::Status& result);
    void start_receive_check();
    [[nodiscard]] bool receive_timed_out();

    boost::asio::ip::address m_remote;
    accepted_owner& m_owner;
    const peer_limits& m_limits;
    boost::asio::steady_timer m_timer;
    std::chrono::steady_clock::time_point m_started;
    std::map<std::int32_t, incoming_stream> m_streams;
    std::shared_ptr<peer_record> m_peer;
    bool m_refused = false; ///< A handshake was refused; the dialling side is expected to close.
};

} // namespace lovagebeam::peers
