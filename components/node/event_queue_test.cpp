#include "components/node/event_queue.hpp"

#include <criterion/criterion.h>

using namespace std::chrono_literals;

/// Datagrams that arrive faster than they are handled took all memory of the process.
Test(eventQueue, datagramsWithoutEnd_areDroppedAndOtherEventsAreQueued)
{
    node::EventQueue queue;
    int queued = 0;
    for (int i = 0; i < 100'000; ++i) {
        queued += queue.pushDatagram(node::DatagramArrived {"x"}) ? 1 : 0;
    }
    queue.push(node::StopRequested {});
    cr_assert_leq(queued, 1024);
    cr_assert_eq(queue.take(0ms).size(), static_cast<std::size_t>(queued) + 1);
    cr_assert(queue.pushDatagram(node::DatagramArrived {"x"}));
}
