#ifndef COMPONENTS_INSTANCE_REQUEST_CALLS_HPP
#define COMPONENTS_INSTANCE_REQUEST_CALLS_HPP

#include "components/api/caller_calls.hpp"
#include "components/api/replies.hpp"
#include "components/fleet/time.hpp"
#include "components/instance/events.hpp"
#include "components/requests/actions.hpp"
#include "components/requests/events.hpp"

#include <vector>

namespace instance
{

struct Core;
struct OpenSending;

/// Issues request ids of this incarnation.
void mintRequestIds(Core &core, requests::WaiterId waiter, const api::IssueRequestIds &call);

/// Dispatches the request here where this incarnation issued its id, and otherwise forwards it to the one that did.
void sendRequest(Core &core, requests::WaiterId waiter, const api::SendRequest &call, fleet::TimePoint now);

void showRequest(Core &core, requests::WaiterId waiter, const api::ShowRequest &call, fleet::TimePoint now);

/// What a caller is told. `sending` is the attempt that the answer belongs to.
api::Reply toReply(const fleet::RequestId &request, int sending, const requests::Answer &answer);

/// Feeds one event to the request slice and carries out its actions.
void feedRequests(Core &core, const requests::Event &event, fleet::TimePoint now);

/// Carries out what the request slice decided.
void actOnRequests(Core &core, const std::vector<requests::Action> &actions, fleet::TimePoint now);

void endRun(Core &core, const RunEnded &event, fleet::TimePoint now);

/// Tells a waiting caller or instance its answer.
void answerWaiter(Core &core, requests::WaiterId waiter, const fleet::RequestId &request, const requests::Answer &answer);

}

#endif
