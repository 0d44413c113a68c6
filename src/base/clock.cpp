#include "lovagebeam/base/clock.h"

#include <chrono>
#include <ctime>

namespace lovagebeam::base {

time_point boot_time()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

wall_time wall_now()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace lovagebeam::base
