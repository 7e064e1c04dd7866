#include "components/node/clocks.hpp"

#include <ctime>

namespace node
{

namespace
{

fleet::Duration readClock(clockid_t clock)
{
    timespec time {};
    ::clock_gettime(clock, &time);
    return std::chrono::duration_cast<fleet::Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}

fleet::Now currentTime()
{
    return {fleet::BootTime(readClock(CLOCK_BOOTTIME)), fleet::TimePoint(readClock(CLOCK_REALTIME))};
}

}
