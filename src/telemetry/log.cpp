#include "lovagebeam/telemetry/log.h"

#include "lovagebeam/telemetry/log_budget.h"

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <sstream>

namespace lovagebeam::telemetry {
namespace {

namespace logging = boost::log;

constexpr std::size_t queue_limit = 10'000;

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

using sink_type = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<queue_limit, logging::sinks::drop_on_overflow>>;

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

using logger_type = logging::sources::severity_logger_mt<severity>;

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

std::string utc_now()
{
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
        1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::ostringstream out;
    out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3) << std::setfill('0')
        << millis << 'Z';
    return out.str();
}

/// What each line has beside its event: time, level, node.
constexpr std::size_t line_overhead = 70;
/// Lines that were left out are counted in a line of their own this often at most.
constexpr std::chrono::seconds left_out_interval{1};

struct shared_budget {
    std::mutex mutex;
    log_budget lines{log_limits{}};
    base::time_point reported;
};

shared_budget& budget()
{
    static shared_budget instance;
    return instance;
}

void write_line(severity level, const std::string& text)
{
    BOOST_LOG_SEV(logger(), level) << "time=" << utc_now() << " level=" << name_of(level)
                                   << " node=" << node_name() << ' ' << text;
}

} // namespace

void start_logging(severity lowest, std::string_view node, log_stream stream)
{
    node_name() = node;
    auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
    std::ostream& out = stream == log_stream::output ? std::cout : std::cerr;
    backend->add_stream(boost::shared_ptr<std::ostream>{&out, boost::null_deleter{}});
    backend->auto_flush(true);
    sink() = boost::make_shared<sink_type>(backend);
    logging::core::get()->add_sink(sink());
    logging::core::get()->set_filter(logging::expressions::attr<severity>("Severity") >= lowest);
}

void stop_logging()
{
    if (!sink()) {
        return;
    }
    logging::core::get()->remove_sink(sink());
    sink()->stop();
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
    if (!sink()) {
        return;
    }
    std::uint64_t left_out = 0;
    {
        const std::lock_guard lock{budget().mutex};
        const auto now = std::chrono::steady_clock::now();
        if (!budget().lines.admit(now, m_level, m_text.size() + line_overhead)) {
            return;
        }
        if (now - budget().reported >= left_out_interval) {
            budget().reported = now;
            left_out = budget().lines.take_left_out();
        }
    }
    if (left_out > 0) {
        write_line(severity::warning, "event=log_lines_left_out count=" + std::to_string(left_out));
    }
    write_line(m_level, m_text);
}

} // namespace lovagebeam::telemetry
