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
struct PendingRequest;

/// Issues request ids of this incarnation.
void issueRequestIds(Core &core, requests::WaiterId waiter, const api::IssueRequestIds &call);

/// Dispatches the request if this instance is responsible for its id, and otherwise forwards it to the responsible instance.
void sendRequest(Core &core, requests::WaiterId waiter, const api::SendRequest &call, fleet::TimePoint now);

void showRequest(Core &core, requests::WaiterId waiter, const api::ShowRequest &call, fleet::TimePoint now);

/// Converts an answer to the reply for the caller. `sendCount` is the number of the submission that the answer belongs to.
api::Reply toReply(const fleet::RequestId &request, int sendCount, const requests::Answer &answer);

/// Feeds one event to the request component and carries out its actions.
void feedRequests(Core &core, const requests::Event &event, fleet::TimePoint now);

/// Carries out actions of the request component.
void actOnRequests(Core &core, const std::vector<requests::Action> &actions, fleet::TimePoint now);

void onRunEnded(Core &core, const RunEnded &event, fleet::TimePoint now);

/// Sends the answer to the caller or instance that waits for it.
void answerWaiter(Core &core, requests::WaiterId waiter, const fleet::RequestId &request, const requests::Answer &answer);

}

#endif
