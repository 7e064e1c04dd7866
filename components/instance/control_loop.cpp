#include "components/instance/control_loop.hpp"

#include "components/instance/control.hpp"

#include <algorithm>

namespace instance
{

namespace
{

constexpr fleet::Duration tickInterval {50};

fleet::TimePoint currentTime()
{
    return std::chrono::floor<fleet::Duration>(std::chrono::system_clock::now());
}

}

void runControlLoop(Control &control, EventQueue<Event> &queue, const std::function<void()> &beforeTick)
{
    fleet::TimePoint nextTick = currentTime();
    while (!control.isStopped()) {
        const fleet::TimePoint before = currentTime();
        const std::vector<Event> events = queue.take(std::clamp(nextTick - before, fleet::Duration(0), tickInterval));
        for (const Event &event : events) {
            control.handle(event, currentTime());
        }
        const fleet::TimePoint now = currentTime();
        if (now >= nextTick || now + tickInterval < nextTick) {
            beforeTick();
            control.handle(Tick {}, now);
            nextTick = now + tickInterval;
        }
    }
}

}
