#include "lovagebeam/telemetry/log.h"

#include "lovagebeam/telemetry/log_budget.h"

#include "descriptor_backend.h"

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lovagebeam::telemetry {
namespace {

namespace logging = boost::log;

/// Maximum size of the buffered lines. Further lines are dropped, so that a reader of the log that
/// stops reading doesn't block the process.
constexpr std::size_t max_buffer_bytes = std::size_t{512} << 10U;
/// Lines of one interval are written together: a wake-up and a system call for each line would cost
/// more than the work that it reports.
constexpr std::chrono::milliseconds write_interval{40};

struct severity_entry {
    severity level;
    std::string_view name;
};

constexpr std::array severity_table{
    severity_entry{severity::debug, "debug"},
    severity_entry{severity::info, "info"},
    severity_entry{severity::warning, "warning"},
    severity_entry{severity::error, "error"},
};

std::string_view name_of(severity level)
{
    return std::ranges::find(severity_table, level, &severity_entry::level)->name;
}

using sink_type = logging::sinks::synchronous_sink<descriptor_backend>;

boost::shared_ptr<sink_type>& sink()
{
    static boost::shared_ptr<sink_type> instance;
    return instance;
}

std::string& node_name()
{
    static std::string name;
    return name;
}

using logger_type = logging::sources::logger_mt;

logger_type& logger()
{
    static logger_type instance;
    return instance;
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || std::ranges::any_of(value, [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
           });
}

std::string quoted(std::string_view value)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string out = "\"";
    for (const char c : value) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        }
        else if (byte < ' ' || byte == 0x7f) {
            out += "\\x";
            out += digits[byte >> 4U];
            out += digits[byte & 0xfU];
        }
        else {
            out += c;
        }
    }
    return out + '"';
}

/// Formats the current time in UTC. Caches the text up to the second. Not thread-safe.
class time_formatter {
public:
    std::string_view now()
    {
        const auto now = std::chrono::system_clock::now();
        const auto seconds = std::chrono::system_clock::to_time_t(now);
        if (seconds != m_seconds) {
            m_seconds = seconds;
            std::tm parts{};
            gmtime_r(&seconds, &parts);
            std::strftime(m_text.data(), m_text.size(), "%Y-%m-%dT%H:%M:%S.000Z", &parts);
        }
        const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
            1000;
        for (int i = 0, rest = static_cast<int>(millis); i < 3; ++i, rest /= 10) {
            m_text.at(millis_end - i) = static_cast<char>('0' + rest % 10);
        }
        return {m_text.data(), text_size};
    }

private:
    static constexpr std::size_t text_size = 24;
    static constexpr int millis_end = 22;

    std::time_t m_seconds = 0;
    std::array<char, text_size + 8> m_text{};
};

/// Estimated bytes of the time, level and node in each line.
constexpr std::size_t line_prefix_bytes = 70;
/// Minimum interval between the lines that report the number of dropped lines.
constexpr std::chrono::seconds dropped_report_interval{1};

/// Buffers lines and writes them on a separate thread.
class line_writer {
public:
    line_writer() : m_thread{[this] { run(); }} {}

    ~line_writer()
    {
        {
            const std::lock_guard lock{m_mutex};
            m_is_stopping = true;
        }
        m_changed.notify_one();
        m_thread.join();
    }

    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    void add(severity level, const std::string& text)
    {
        const std::lock_guard lock{m_mutex};
        const auto now = std::chrono::steady_clock::now();
        if (!m_budget.admit(now, level, text.size() + line_prefix_bytes) ||
            m_lines.size() + text.size() > max_buffer_bytes) {
            ++m_dropped;
            return;
        }
        if (now - m_last_dropped_report >= dropped_report_interval) {
            m_last_dropped_report = now;
            if (const auto count = std::exchange(m_dropped, 0); count > 0) {
                append(severity::warning,
                       "event=log_lines_left_out count=" + std::to_string(count));
            }
        }
        const bool was_empty = m_lines.empty();
        if (const auto loss = std::exchange(m_loss, std::nullopt)) {
            append(severity::error,
                   "event=log_write_failed bytes=" + std::to_string(loss->bytes) +
                       " error=" + quoted(std::generic_category().message(loss->error)));
        }
        append(level, text);
        if (was_empty) {
            m_changed.notify_one();
        }
    }

private:
    void append(severity level, const std::string& text)
    {
        if (!m_lines.empty()) {
            m_lines += '\n';
        }
        m_lines.append("time=").append(m_time.now()).append(" level=").append(name_of(level));
        m_lines.append(" node=").append(node_name()).append(" ").append(text);
    }

    void run()
    {
        std::unique_lock lock{m_mutex};
        while (!m_is_stopping || !m_lines.empty()) {
            m_changed.wait(lock, [this] { return m_is_stopping || !m_lines.empty(); });
            if (!m_is_stopping) {
                m_changed.wait_for(lock, write_interval, [this] { return m_is_stopping; });
            }
            const std::string lines = std::exchange(m_lines, {});
            lock.unlock();
            std::optional<descriptor_backend::loss> loss;
            if (!lines.empty()) {
                BOOST_LOG(logger()) << lines;
                loss = sink()->locked_backend()->take_loss();
            }
            lock.lock();
            if (loss) {
                m_loss = loss;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_lines;
    log_budget m_budget{log_limits{}};
    std::uint64_t m_dropped = 0;
    std::optional<descriptor_backend::loss> m_loss; ///< not reported yet
    base::time_point m_last_dropped_report;
    time_formatter m_time;
    bool m_is_stopping = false;
    std::thread m_thread; // declared last: it uses the members above
};

std::unique_ptr<line_writer>& writer()
{
    static std::unique_ptr<line_writer> instance;
    return instance;
}

std::atomic<severity>& lowest_severity()
{
    static std::atomic<severity> instance = severity::info;
    return instance;
}

} // namespace

void start_logging(severity lowest, std::string_view node, log_stream stream)
{
    node_name() = node;
    sink() = boost::make_shared<sink_type>(boost::make_shared<descriptor_backend>(
        stream == log_stream::output ? STDOUT_FILENO : STDERR_FILENO));
    logging::core::get()->add_sink(sink());
    lowest_severity() = lowest;
    writer() = std::make_unique<line_writer>();
}

void stop_logging()
{
    if (!writer()) {
        return;
    }
    writer().reset();
    logging::core::get()->remove_sink(sink());
    sink()->flush();
    sink().reset();
}

severity severity_from_name(std::string_view name)
{
    const auto* const found = std::ranges::find(severity_table, name, &severity_entry::name);
    return found == severity_table.end() ? severity::info : found->level;
}

log_event::log_event(severity level, std::string_view event) : m_level{level}
{
    with("event", event);
}

log_event& log_event::with(std::string_view key, std::string_view value)
{
    if (!m_text.empty()) {
        m_text += ' ';
    }
    m_text += key;
    m_text += '=';
    m_text += needs_quotes(value) ? quoted(value) : std::string{value};
    return *this;
}

void log_event::write() const
{
    if (writer() && m_level >= lowest_severity().load(std::memory_order_relaxed)) {
        writer()->add(m_level, m_text);
    }
}

} // namespace lovagebeam::telemetry
