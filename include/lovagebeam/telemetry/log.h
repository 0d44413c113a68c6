#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace lovagebeam::telemetry {

enum class severity { debug, info, warning, error };

enum class log_stream { error, output };

/// Starts logging to a standard stream on a separate thread. Events below `lowest` are discarded.
/// `node` appears in each line. Call once, before other threads start.
void start_logging(severity lowest, std::string_view node, log_stream stream = log_stream::error);

/// Writes the buffered lines and stops logging. Later events are discarded.
void stop_logging();

/// Returns the severity named `name`, or `info` for an unknown name.
severity severity_from_name(std::string_view name);

/// Builds one log line of key=value pairs. Values with spaces, quotes or control characters are
/// quoted and escaped, so that a line can always be parsed.
///
///     log_event{severity::info, "epoch_installed"}.with("epoch", 7).write();
class log_event {
public:
    log_event(severity level, std::string_view event);

    log_event& with(std::string_view key, std::string_view value);
    log_event& with(std::string_view key, const char* value)
    {
        return with(key, std::string_view{value});
    }
    log_event& with(std::string_view key, bool value)
    {
        return with(key, value ? "true" : "false");
    }

    template <class Number>
    requires std::integral<Number> || std::floating_point<Number> log_event&
    with(std::string_view key, Number value)
    {
        return with(key, std::to_string(value));
    }

    /// Adds the line to the log's buffer. Never blocks on I/O: lines beyond the rate limit or the
    /// size of the buffer are dropped.
    void write() const;

    /// Returns the pairs as they will appear in the line.
    [[nodiscard]] const std::string& text() const { return m_text; }

private:
    severity m_level;
    std::string m_text;
};

} // namespace lovagebeam::telemetry
