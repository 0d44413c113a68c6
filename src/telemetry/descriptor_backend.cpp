#include "descriptor_backend.h"

#include <cerrno>
#include <chrono>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace lovagebeam::telemetry {
namespace {

/// How long a write waits for a reader of the log that doesn't read.
constexpr std::chrono::milliseconds reader_timeout{1'000};

bool wait_until_writable(int descriptor)
{
    pollfd waiting{descriptor, POLLOUT, 0};
    return ::poll(&waiting, 1, static_cast<int>(reader_timeout.count())) > 0;
}

} // namespace

void descriptor_backend::consume(const boost::log::record_view& /*record*/, const std::string& text)
{
    std::string out;
    out.reserve(text.size() + 2);
    if (m_is_line_incomplete) {
        out += '\n';
    }
    out.append(text).append("\n");
    const auto written = write(out);
    if (written == out.size()) {
        m_is_line_incomplete = false;
        return;
    }
    if (written > 0) {
        m_is_line_incomplete = out[written - 1] != '\n';
    }
    const auto before = m_loss ? m_loss->bytes : 0;
    m_loss = loss{errno, before + out.size() - written};
}

std::optional<descriptor_backend::loss> descriptor_backend::take_loss()
{
    return std::exchange(m_loss, std::nullopt);
}

std::size_t descriptor_backend::write(std::string_view text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const auto count = ::write(m_descriptor, text.data() + written, text.size() - written);
        if (count > 0) {
            written += static_cast<std::size_t>(count);
        }
        else if (count < 0 && errno == EINTR) {
            continue;
        }
        else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!wait_until_writable(m_descriptor)) {
                errno = EAGAIN;
                break;
            }
        }
        else {
            break;
        }
    }
    return written;
}

} // namespace lovagebeam::telemetry
