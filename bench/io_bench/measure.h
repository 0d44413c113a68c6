#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iostream>
#include <string_view>
#include <sys/resource.h>
#include <vector>

namespace lovagebeam::bench {

/// Measures wall time and the processor time of the whole process since construction.
class stopwatch {
public:
    [[nodiscard]] double seconds() const
    {
        return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_begin).count();
    }

    [[nodiscard]] double cpu_us() const { return now_cpu_us() - m_cpu_begin; }

private:
    static double now_cpu_us()
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        const auto us = [](const timeval& time) {
            return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_usec);
        };
        return us(usage.ru_utime) + us(usage.ru_stime);
    }

    std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
    double m_cpu_begin = now_cpu_us();
};

/// Returns the value below which `share` of the samples lie. Sorts the samples.
inline double percentile(std::vector<double>& samples, double share)
{
    if (samples.empty()) {
        return 0;
    }
    std::ranges::sort(samples);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size()));
    return samples[std::min(index, samples.size() - 1)];
}

inline void report(std::string_view name, double value)
{
    std::cout << name << '=' << value << '\n';
}

} // namespace lovagebeam::bench
