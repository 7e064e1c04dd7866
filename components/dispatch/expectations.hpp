#ifndef COMPONENTS_DISPATCH_EXPECTATIONS_HPP
#define COMPONENTS_DISPATCH_EXPECTATIONS_HPP

#include "components/dispatch/expectation.hpp"
#include "components/dispatch/room.hpp"

#include <optional>

namespace dispatch
{

struct Candidate;
struct Context;

/// The workers that will have room for all tasks of the candidate soonest, without stopping anything; nothing where there
/// is not enough room on the workers in use.
std::optional<Expectation> expectRoom(const Context &context, const Candidate &candidate, Rooms &rooms);

}

#endif
