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

/// What a dialled connection reports.
class dialled_owner {
public:
    virtual ~dialled_owner() = default;

    /// The peer has accepted the handshake of every channel.
    virtual void on_ready(const std::shared_ptr<dialled_link>& link) = 0;

    /// Two PINGs are unanswered.
    virtual void on_silent(const std::shared_ptr<dialled_link>& link) = 0;

    /// The peer has said GOAWAY. It still takes what is queued.
    virtual void on_leaving(const std::shared_ptr<dialled_link>& link) = 0;

    virtual void on_dialled_closed(const std::shared_ptr<dialled_link>& link,
                                   const absl::Status& why) = 0;
};

/// A connection that this node dials to a peer: one stream for each channel, which carries the
/// messages of the peer's queues.
class dialled_link : public http2_link {
public:
    dialled_link(boost::asio::io_context& io, std::shared_ptr<peer_record> record,
                 const authenticator& keys, dialled_owner& owner, const peer_limits& limits,
                 live_counters& counters);

    /// Connects from `local`, unless that is unspecified, to `remote`.
    void dial(const boost::asio::ip::tcp::endpoint& remote, const boost::asio::ip::address& local);

    /// Sends what has come into the queues.
    void wake();

    /// Leaves the queues alone until `activate`. A message that is partly sent goes on.
    void pause() { m_mode = mode::paused; }
    void activate();

    /// Sends the rest of the queues and closes; at the latest after `limit`.
    void drain(std::chrono::milliseconds limit);

    /// Like `drain`, but leaves the queues to another connection.
    void retire(std::chrono::milliseconds limit);

    [[nodiscard]] bool ready() const { return m_accepted == channel_count; }

protected:
    void on_header(std::int32_t stream, std::string_view name, std::string_view value) override;
    void on_headers_end(std::int32_t stream) override;
    void on_data(std::int32_t, std::string_view) override {}
    void on_end(std::int32_t) override {}
    void on_stream_closed(std::int32_t stream) override;
    void on_ping_ack() override { m_unanswered = 0; }
    void on_goaway() override;
    std::size_t provide(std::int32_t stream, char* buffer, std::size_t size, bool& end) override;
    void on_closed(const absl::Status& why) override;

private:
    enum class mode { handshake, active, paused, draining, retiring };

    /// One channel's stream and the message that is partly sent on it.
    struct lane {
        channel which = channel::consensus;
        std::int32_t stream = -1;
        std::optional<std::string> message;
        std::array<char, length_prefix_bytes> prefix{};
        std::size_t offset = 0; ///< In prefix and message together.
        bool open = true;
    };

    void on_connected(boost::system::error_code ec);
    void open_streams();
    void end_streams(mode how, std::chrono::milliseconds limit);
    void await_ping();
    void on_ping_due();
    bool take_message(lane& from);
    std::size_t copy_part(lane& from, char* buffer, std::size_t size);
    lane* lane_of(std::int32_t stream);

    std::shared_ptr<peer_record> m_record;
    const authenticator& m_keys;
    dialled_owner& m_owner;
    const peer_limits& m_limits;
    boost::asio::steady_timer m_timer; ///< Limits the dial, later the closing.
    boost::asio::steady_timer m_ping_timer;
    std::array<lane, channel_count> m_lanes;
    std::string m_status;
    std::string m_refusal;
    std::size_t m_accepted = 0;
    unsigned m_unanswered = 0;
    mode m_mode = mode::handshake;
    bool m_silent = false;
};

} // namespace lovagebeam::peers
