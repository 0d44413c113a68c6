#include "lovagebeam/settings/process_settings.h"

#include "lovagebeam/base/errors.h"

#include "text_file.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace lovagebeam::settings {
namespace {

constexpr std::int64_t max_port = 65'535;
/// A core process uses two internal ports, an entry process one.
constexpr std::int64_t min_internal_ports = 3;

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    endpoint out;
    out.address = text.substr(0, colon);
    const auto port = text.substr(colon + 1);
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), out.port);
    boost::system::error_code error;
    boost::asio::ip::make_address(out.address, error);
    const bool is_whole = parsed.ec == std::errc{} && parsed.ptr == port.data() + port.size();
    return error || !is_whole || out.port == 0 ? std::nullopt : std::optional{out};
}

void read_endpoint(json_reader& reader, std::string_view name, std::optional<endpoint>& out)
{
    std::string text;
    reader.read(name, text, presence::optional);
    if (text.empty()) {
        return;
    }
    out = parse_endpoint(text);
    if (!out) {
        reader.report(name, "must be ADDRESS:PORT, but is \"" + text + "\"");
    }
}

void read_seeds(json_reader& reader, process_settings& out, std::vector<problem>& problems)
{
    const auto* const seeds = reader.array("seeds", presence::required);
    if (seeds == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < seeds->size(); ++i) {
        const auto* const text = (*seeds)[i].if_string();
        const auto found =
            text == nullptr ? std::nullopt : parse_endpoint({text->data(), text->size()});
        if (found) {
            out.seeds.push_back(*found);
        }
        else {
            problems.push_back({"seeds[" + std::to_string(i) + "]", "must be ADDRESS:PORT"});
        }
    }
}

void read_duration(json_reader& reader, std::string_view name, std::int64_t low,
                   std::chrono::milliseconds& out)
{
    constexpr std::int64_t max_duration_ms = 3'600'000;
    std::int64_t value = out.count();
    reader.read(name, value, low, max_duration_ms, presence::optional);
    out = std::chrono::milliseconds{value};
}

void read_limits(json_reader& reader, process_settings& out)
{
    constexpr std::int64_t max_connections = 100'000;
    constexpr std::int64_t max_memory_mb = 16'384;
    auto connections = static_cast<std::int64_t>(out.max_connections);
    auto memory_mb = static_cast<std::int64_t>(out.max_request_memory_bytes >> 20U);
    reader.read("max_connections", connections, 1, max_connections, presence::optional);
    reader.read("max_request_memory_mb", memory_mb, 1, max_memory_mb, presence::optional);
    out.max_connections = static_cast<std::size_t>(connections);
    out.max_request_memory_bytes = static_cast<std::size_t>(memory_mb) << 20U;
}

void read_internal_ports(json_reader& reader, process_settings& out)
{
    std::int64_t first = 0;
    std::int64_t last = 0;
    reader.read("first_internal_port", first, 1, max_port, presence::required);
    reader.read("last_internal_port", last, 1, max_port, presence::required);
    if (first > 0 && last > 0 && last - first + 1 < min_internal_ports) {
        reader.report("last_internal_port",
                      "the range of internal ports must have at least 3 ports");
    }
    out.first_internal_port = static_cast<std::uint16_t>(first);
    out.last_internal_port = static_cast<std::uint16_t>(last);
}

void read_control_mode(json_reader& reader)
{
    std::string mode = "calls";
    reader.read("control_mode", mode, presence::optional);
    if (mode != "calls" && mode != "invocation") {
        reader.report("control_mode", "\"" + mode + "\" isn't supported; must be \"calls\"");
    }
}

process_settings read_settings(const boost::json::object& object, std::vector<problem>& problems)
{
    process_settings out;
    json_reader reader{object, "", problems};
    std::string node;
    std::string domain;
    reader.read("node_id", node, presence::required);
    reader.read("address", out.address, presence::required);
    reader.read("failure_domain", domain, presence::required);
    reader.read("data_folder", out.data_folder, presence::optional);
    read_endpoint(reader, "callers", out.callers);
    read_endpoint(reader, "readiness", out.readiness);
    read_endpoint(reader, "control", out.control);
    read_endpoint(reader, "metrics", out.metrics);
    read_endpoint(reader, "advice_service", out.advice_service);
    read_internal_ports(reader, out);
    read_seeds(reader, out, problems);
    reader.read("first_start", out.is_first_start, presence::optional);
    std::int64_t losses = out.tolerated_losses;
    reader.read("tolerated_losses", losses, 0, 3, presence::optional);
    out.tolerated_losses = static_cast<std::uint32_t>(losses);
    read_duration(reader, "max_lease_ms", 500, out.max_lease);
    read_duration(reader, "grace_ms", 1'000, out.grace);
    read_duration(reader, "heartbeat_ms", 50, out.heartbeat);
    read_duration(reader, "ack_timeout_ms", 100, out.ack_timeout);
    read_control_mode(reader);
    read_limits(reader, out);
    reader.read("log_level", out.log_level, presence::optional);
    reader.finish();
    out.node = base::node_id{node};
    out.domain = base::failure_domain{domain};
    return out;
}

} // namespace

process_parse_result parse_process_settings(std::string_view text)
{
    process_parse_result result;
    const auto document = parse_document(text, result.problems);
    if (!document) {
        return result;
    }
    auto settings = read_settings(*document, result.problems);
    if (result.problems.empty()) {
        result.settings = std::move(settings);
    }
    return result;
}

absl::StatusOr<process_settings> load_process_settings(const std::string& path)
{
    const auto text = read_text_file(path);
    if (!text.ok()) {
        return text.status();
    }
    auto result = parse_process_settings(*text);
    if (result.settings) {
        return *std::move(result.settings);
    }
    return problems_error(path, result.problems);
}

} // namespace lovagebeam::settings
