#ifndef COMPONENTS_FLEET_TIME_HPP
#define COMPONENTS_FLEET_TIME_HPP

#include <chrono>
#include <cstdint>

namespace fleet
{

/// All decisions use a resolution of one millisecond.
using Duration = std::chrono::milliseconds;

/// Wall-clock time in UTC. Functions that make decisions receive it as an argument and never read a clock.
using TimePoint = std::chrono::sys_time<Duration>;

inline std::int64_t toMilliseconds(TimePoint time)
{
    return time.time_since_epoch().count();
}

inline TimePoint fromMilliseconds(std::int64_t milliseconds)
{
    return TimePoint(Duration(milliseconds));
}

/// Serializes a duration or a time point as its count of milliseconds.
template<class Archive>
void serializeDuration(Archive &archive, Duration &duration)
{
    std::int64_t count = duration.count();
    archive(count);
    duration = Duration(count);
}

template<class Archive>
void serializeTime(Archive &archive, TimePoint &time)
{
    std::int64_t count = toMilliseconds(time);
    archive(count);
    time = fromMilliseconds(count);
}

}

#endif
