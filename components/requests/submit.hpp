#ifndef COMPONENTS_REQUESTS_SUBMIT_HPP
#define COMPONENTS_REQUESTS_SUBMIT_HPP

#include "components/fleet/time.hpp"
#include "components/requests/actions.hpp"
#include "components/requests/events.hpp"

#include <vector>

namespace requests
{

struct State;

/// What to say about an id whose dispatcher is gone, or that was forgotten. A first sending has never left its caller
/// before, so it cannot have run; a later one may have.
Answer answerWithoutRecord(int sending);

/// Takes a request: answers it from the table, refuses it, or queues it.
void submit(State &state, const Submitted &event, std::vector<Action> &actions, fleet::TimePoint now);

}

#endif
