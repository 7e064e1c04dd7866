#include "components/requests/routing.hpp"

#include <algorithm>

namespace requests
{

Route route(const RequestIdParts &id, int sendCount, const fleet::InstanceId &here, const std::vector<Dispatcher> &dispatchers)
{
    const Issuer issuer {id.m_instance, id.m_incarnation};
    for (const Dispatcher &dispatcher : dispatchers) {
        const auto &issuers = dispatcher.m_issuers;
        if (std::find(issuers.begin(), issuers.end(), issuer) == issuers.end()) {
            continue;
        }
        return dispatcher.m_instance == here ? Route(HandleHere {}) : Route(ForwardTo {dispatcher.m_instance});
    }
    if (sendCount == 1) {
        return Answer {AnswerKind::DidNotRun, {}, "the instance that issued this id is gone; ask for a new id and send again"};
    }
    return Answer {AnswerKind::OutcomeUnknown, {}, "the instance that issued this id is gone; find out by other means whether the request ran"};
}

Answer answerFailedForward(int sendCount, bool mayHaveBeenSent)
{
    if (!mayHaveBeenSent && sendCount == 1) {
        return {AnswerKind::DidNotRun, {}, "the instance that issued this id cannot be reached; ask for a new id and send again"};
    }
    return {AnswerKind::OutcomeUnknown, {}, "the instance that issued this id gave no answer; ask again with the same id"};
}

}
