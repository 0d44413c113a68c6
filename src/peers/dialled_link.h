#pragma once

#include "handshake.h"
#include "http2_link.h"
#include "message_framing.h"
#include "peer_record.h"

#include <array>
#include <memory>
#include <optional>
#include <string>

namespace lovagebeam::peers {

class dialled_link;

/// Receives the state changes of a dialled connection.
class dialled_owner {
public:
    virtual ~dialled_owner() = default;

    /// Called when the peer has accepted the handshake of every channel.
    virtual void on_ready(const std::shared_ptr<dialled_link>& link) = 0;

    /// Called when two PINGs are unanswered.
    virtual void on_silent(const std::shared_ptr<dialled_link>& link) = 0;

    /// Called when the peer has sent GOAWAY. It still accepts the queued messages.
    virtual void on_peer_closing(const std::shared_ptr<dialled_link>& link) = 0;

    virtual void on_dialled_closed(const std::shared_ptr<dialled_link>& link,
                                   const absl::Status& why) = 0;
};

/// A connection that this node dials to a peer. It has one stream for each channel and sends the
/// messages of the peer's queues.
class dialled_link : public http2_link {
public:
    dialled_link(boost::asio::io_context& io, std::shared_ptr<peer_record> record,
                 const authenticator& keys, dialled_owner& owner, const peer_limits& limits,
                 live_counters& counters);

    /// Connects from `local`, unless that is unspecified, to `remote`.
    void dial(const boost::asio::ip::tcp::endpoint& remote, const boost::asio::ip::address& local);

    /// Sends newly queued messages.
    void wake();

    /// Stops taking messages from the queues until `activate`. A partly sent message is completed.
    void pause() { m_mode = mode::paused; }
    void activate();

    /// Sends the queued messages, then closes the connection; at the latest after `limit`.
    void drain(std::chrono::milliseconds limit);

    /// Completes partly sent messages, then closes like `drain`. Queued messages are left to the
    /// replacement connection.
    void retire(std::chrono::milliseconds limit);

    [[nodiscard]] bool ready() const { return m_accepted_streams == channel_count; }

protected:
    void on_header(std::int32_t stream, std::string_view name, std::string_view value) override;
    void on_headers_end(std::int32_t stream) override;
    void on_data(std::int32_t, std::string_view) override {}
    void on_end(std::int32_t) override {}
    void on_stream_closed(std::int32_t stream) override;
    void on_ping_ack() override { m_unanswered_pings = 0; }
    void on_goaway() override;
    std::size_t produce_data(std::int32_t stream, char* buffer, std::size_t size,
                             bool& end) override;
    void on_closed(const absl::Status& why) override;

private:
    enum class mode { handshake, active, paused, draining, retiring };

    /// The stream of one channel and the message that is being sent on it.
    struct channel_stream {
        channel which = channel::consensus;
        std::int32_t stream = -1;
        std::optional<std::string> message;
        std::array<char, length_prefix_bytes> prefix{};
        std::size_t offset = 0; ///< Bytes sent of prefix and message together.
        bool open = true;
    };

    void on_connected(boost::system::error_code ec);
    void open_streams();
    void end_streams(mode how, std::chrono::milliseconds limit);
    void schedule_ping();
    void on_ping_due();
    bool load_message(channel_stream& from);
    std::size_t copy_fragment(channel_stream& from, char* buffer, std::size_t size);
    channel_stream* stream_of(std::int32_t stream);

    std::shared_ptr<peer_record> m_record;
    const authenticator& m_keys;
    dialled_owner& m_owner;
    const peer_limits& m_limits;
    boost::asio::steady_timer m_timer; ///< Limits the connect and handshake, later the close.
    boost::asio::steady_timer m_ping_timer;
    std::array<channel_stream, channel_count> m_streams;
    std::string m_status;
    std::string m_refusal;
    std::size_t m_accepted_streams = 0;
    unsigned m_unanswered_pings = 0;
    mode m_mode = mode::handshake;
    bool m_silent = false;
};

} // namespace lovagebeam::peers
