#include "model.h"

#include <algorithm>

namespace lovagebeam::placement {

resources& resources::operator+=(const resources& other)
{
    cpu += other.cpu;
    memory += other.memory;
    devices += other.devices;
    return *this;
}

resources& resources::operator-=(const resources& other)
{
    cpu -= other.cpu;
    memory -= other.memory;
    devices -= other.devices;
    return *this;
}

namespace internal {

resources scaled(const resources& amount, std::int64_t factor)
{
    return {base::millicores{amount.cpu.value() * factor},
            base::bytes{amount.memory.value() * factor},
            accelerators{amount.devices.value() * factor}};
}

std::int64_t times_fitting(const resources& size, const resources& free)
{
    std::int64_t times = std::numeric_limits<std::int64_t>::max();
    const auto limit = [&times](std::int64_t need, std::int64_t have) {
        if (need > 0) {
            times = std::min(times, std::max<std::int64_t>(0, have / need));
        }
    };
    limit(size.cpu.value(), free.cpu.value());
    limit(size.memory.value(), free.memory.value());
    limit(size.devices.value(), free.devices.value());
    return times;
}

std::string text_of(const resources& amount)
{
    return std::to_string(amount.cpu.value()) + " millicores, " +
           std::to_string(amount.memory.value()) + " bytes, " +
           std::to_string(amount.devices.value()) + " accelerators";
}

} // namespace internal

} // namespace lovagebeam::placement
