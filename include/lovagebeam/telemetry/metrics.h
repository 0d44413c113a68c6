#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace lovagebeam::telemetry {

/// A monotonically increasing count. Thread-safe.
class counter {
public:
    void add(std::uint64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    [[nodiscard]] std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// A value that can increase and decrease. Thread-safe.
class gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    [[nodiscard]] double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value = 0;
};

/// A distribution of durations from 10 microseconds to 1000 seconds in buckets whose bounds grow
/// by a constant factor of about 1.33. Thread-safe.
class duration_histogram {
public:
    duration_histogram();
    ~duration_histogram();
    duration_histogram(const duration_histogram&) = delete;
    duration_histogram& operator=(const duration_histogram&) = delete;

    void record(double seconds);

    /// Returns the upper bound in seconds of the bucket that contains the quantile `q`, which is in
    /// [0, 1]; 0 when nothing was recorded.
    [[nodiscard]] double quantile(double q) const;

    /// Appends the buckets in the Prometheus text format to `out`.
    void render(std::string_view name, std::string_view labels, std::string& out) const;

private:
    struct implementation;
    mutable std::mutex m_mutex;
    std::unique_ptr<implementation> m_impl;
};

/// The metrics of one process. A name may have labels: `waiting_seconds{class="urgent"}`. The
/// returned references stay valid for the lifetime of the registry. Thread-safe.
class metrics_registry {
public:
    counter& counter_named(const std::string& name);
    gauge& gauge_named(const std::string& name);
    duration_histogram& histogram_named(const std::string& name);

    /// Returns all metrics in the Prometheus text format, ordered by type and name.
    [[nodiscard]] std::string render() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<counter>> m_counters;
    std::map<std::string, std::unique_ptr<gauge>> m_gauges;
    std::map<std::string, std::unique_ptr<duration_histogram>> m_histograms;
};

} // namespace lovagebeam::telemetry
