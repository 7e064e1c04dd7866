#ifndef COMPONENTS_REQUESTS_DISPATCH_HPP
#define COMPONENTS_REQUESTS_DISPATCH_HPP

#include "components/fleet/time.hpp"
#include "components/requests/actions.hpp"
#include "components/requests/events.hpp"

#include <vector>

namespace requests
{

struct Entry;
struct State;

/// Sends queued requests to runners until no request is queued or no runner can take the next one.
void dispatchQueued(State &state, std::vector<Action> &actions, fleet::TimePoint now);

void onRunnerAnswered(State &state, const RunnerAnswered &event, std::vector<Action> &actions, fleet::TimePoint now);

void onDispatchFailed(State &state, const DispatchFailed &event, std::vector<Action> &actions, fleet::TimePoint now);

/// Handles every request whose deadline, attempt timeout or time for a hedged attempt has passed.
void runDueTimers(State &state, std::vector<Action> &actions, fleet::TimePoint now);

}

#endif
