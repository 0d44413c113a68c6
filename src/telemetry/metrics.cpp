#include "lovagebeam/telemetry/metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace lovagebeam::telemetry {
namespace {

namespace bh = boost::histogram;

constexpr unsigned bucket_count = 64;
constexpr double smallest_seconds = 1e-5;
constexpr double largest_seconds = 1e3;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

auto make_buckets()
{
    return bh::make_histogram(log_axis{bucket_count, smallest_seconds, largest_seconds});
}

std::string format_number(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

// Splits `waiting_seconds{class="urgent"}` into the name and the labels without braces.
std::pair<std::string, std::string> split_labels(const std::string& full)
{
    const auto brace = full.find('{');
    if (brace == std::string::npos) {
        return {full, ""};
    }
    return {full.substr(0, brace), full.substr(brace + 1, full.size() - brace - 2)};
}

template <class Metric>
Metric& find_or_create(std::map<std::string, std::unique_ptr<Metric>>& metrics,
                       const std::string& name)
{
    auto& slot = metrics[name];
    if (!slot) {
        slot = std::make_unique<Metric>();
    }
    return *slot;
}

} // namespace

struct duration_histogram::implementation {
    decltype(make_buckets()) buckets = make_buckets();
    double sum = 0;
    std::uint64_t count = 0;
};

duration_histogram::duration_histogram() : m_impl{std::make_unique<implementation>()} {}
duration_histogram::~duration_histogram() = default;

void duration_histogram::record(double seconds)
{
    const std::lock_guard lock{m_mutex};
    m_impl->buckets(seconds);
    m_impl->sum += seconds;
    ++m_impl->count;
}

double duration_histogram::quantile(double q) const
{
    const std::lock_guard lock{m_mutex};
    const double rank = q * static_cast<double>(m_impl->count);
    double cumulative = m_impl->buckets.at(-1);
    if (m_impl->count == 0) {
        return 0;
    }
    if (cumulative >= rank) {
        return smallest_seconds;
    }
    for (auto&& bucket : bh::indexed(m_impl->buckets)) {
        cumulative += *bucket;
        if (cumulative >= rank) {
            return bucket.bin().upper();
        }
    }
    return largest_seconds;
}

void duration_histogram::render(std::string_view name, std::string_view labels,
                                std::string& out) const
{
    const std::lock_guard lock{m_mutex};
    const std::string base{name};
    const std::string prefix = labels.empty() ? "" : std::string{labels} + ",";
    std::string suffix;
    if (!labels.empty()) {
        suffix.append("{").append(labels).append("}");
    }
    double cumulative = m_impl->buckets.at(-1);
    for (auto&& bucket : bh::indexed(m_impl->buckets)) {
        cumulative += *bucket;
        out.append(base).append("_bucket{").append(prefix).append("le=\"");
        out.append(format_number(bucket.bin().upper())).append("\"} ");
        out.append(std::to_string(static_cast<std::uint64_t>(cumulative))).append("\n");
    }
    const std::string count = std::to_string(m_impl->count);
    out += base + "_bucket{" + prefix + "le=\"+Inf\"} " + count + "\n";
    out += base + "_sum" + suffix + " " + format_number(m_impl->sum) + "\n";
    out += base + "_count" + suffix + " " + count + "\n";
}

counter& metrics_registry::counter_named(const std::string& name)
{
    const std::lock_guard lock{m_mutex};
    return find_or_create(m_counters, name);
}

gauge& metrics_registry::gauge_named(const std::string& name)
{
    const std::lock_guard lock{m_mutex};
    return find_or_create(m_gauges, name);
}

duration_histogram& metrics_registry::histogram_named(const std::string& name)
{
    const std::lock_guard lock{m_mutex};
    return find_or_create(m_histograms, name);
}

std::string metrics_registry::render() const
{
    const std::lock_guard lock{m_mutex};
    std::string out;
    for (const auto& [name, metric] : m_counters) {
        out += name + " " + std::to_string(metric->value()) + "\n";
    }
    for (const auto& [name, metric] : m_gauges) {
        out += name + " " + format_number(metric->value()) + "\n";
    }
    for (const auto& [full, metric] : m_histograms) {
        const auto [name, labels] = split_labels(full);
        metric->render(name, labels, out);
    }
    return out;
}

} // namespace lovagebeam::telemetry
