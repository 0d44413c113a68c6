#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace lovagebeam::telemetry {

/// Writes log records to a file descriptor. A failed write loses the rest of its record only: the
/// next record is written again. (A standard stream refuses all output after one failed write.)
/// Used on one thread.
class descriptor_backend
    : public boost::log::sinks::basic_formatted_sink_backend<
          char,
          boost::log::sinks::combine_requirements<boost::log::sinks::synchronized_feeding>::type> {
public:
    /// Output that was lost since the last report.
    struct loss {
        int error = 0; ///< errno of the last failed write
        std::size_t bytes = 0;
    };

    explicit descriptor_backend(int descriptor) : m_descriptor{descriptor} {}

    /// Writes `text` and a line break. Waits up to a second for a reader that doesn't read.
    void consume(const boost::log::record_view& record, const std::string& text);

    /// Returns what was lost since the last call, or nothing.
    std::optional<loss> take_loss();

private:
    /// Returns the number of bytes written.
    std::size_t write(std::string_view text);

    int m_descriptor;
    bool m_is_line_incomplete = false;
    std::optional<loss> m_loss;
};

} // namespace lovagebeam::telemetry
