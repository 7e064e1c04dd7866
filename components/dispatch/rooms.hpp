#ifndef COMPONENTS_DISPATCH_ROOMS_HPP
#define COMPONENTS_DISPATCH_ROOMS_HPP

#include "components/dispatch/room.hpp"

#include <cstdint>

namespace dispatch
{

struct Candidate;
struct Context;

/// Every worker that new runs may be given to.
Rooms findRooms(Context &context);

/// True where the worker has what the step asks for, room and advice aside.
bool isSuitable(const Candidate &candidate, const WorkerState &worker);

/// The same, and the worker may run the step as far as advice is asked for.
bool mayRun(const Candidate &candidate, const WorkerState &worker);

/// What the room has for the candidate beside what is reserved for other steps.
fleet::Resources freeFor(const Candidate &candidate, const Room &room);

/// Workers of which something is kept for a step.
std::size_t countHeld(const Rooms &rooms);

/// Tasks of the candidate that the worker can take with `free`.
std::uint32_t slotsOn(const Candidate &candidate, const Room &room, const fleet::Resources &free);

}

#endif
