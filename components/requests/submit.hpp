#ifndef COMPONENTS_REQUESTS_SUBMIT_HPP
#define COMPONENTS_REQUESTS_SUBMIT_HPP

#include "components/fleet/time.hpp"
#include "components/requests/actions.hpp"
#include "components/requests/events.hpp"

#include <vector>

namespace requests
{

struct State;

/// Handles a submitted request: answers it from the table, refuses it, or queues it.
void submit(State &state, const Submitted &event, std::vector<Action> &actions, fleet::TimePoint now);

}

#endif
