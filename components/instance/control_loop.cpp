#include "components/instance/control_loop.hpp"

#include "components/instance/control.hpp"

#include <algorithm>

namespace instance
{

namespace
{

constexpr fleet::Duration tickInterval {50};

fleet::TimePoint presentTime()
{
    return std::chrono::floor<fleet::Duration>(std::chrono::system_clock::now());
}

}

void runControlLoop(Control &control, EventQueue<Event> &queue, const std::function<void()> &beforeTick)
{
    fleet::TimePoint nextTick = presentTime();
    while (!control.isStopped()) {
        const fleet::TimePoint before = presentTime();
        const std::vector<Event> events = queue.take(std::clamp(nextTick - before, fleet::Duration(0), tickInterval));
        for (const Event &event : events) {
            control.handle(event, presentTime());
        }
        const fleet::TimePoint now = presentTime();
        if (now >= nextTick || now + tickInterval < nextTick) {
            beforeTick();
            control.handle(Tick {}, now);
            nextTick = now + tickInterval;
        }
    }
}

}
