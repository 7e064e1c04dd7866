#ifndef COMPONENTS_INSTANCE_CONTROL_LOOP_HPP
#define COMPONENTS_INSTANCE_CONTROL_LOOP_HPP

#include "components/instance/event_queue.hpp"
#include "components/instance/events.hpp"

#include <functional>

namespace instance
{

class Control;

/// Runs the control thread until the planned stop is complete. `beforeTick` is called before each Tick event.
///
/// Reads the current time from the system clock and passes it with every event.
void runControlLoop(Control &control, EventQueue<Event> &queue, const std::function<void()> &beforeTick);

}

#endif
