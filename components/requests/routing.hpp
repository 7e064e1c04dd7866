#ifndef COMPONENTS_REQUESTS_ROUTING_HPP
#define COMPONENTS_REQUESTS_ROUTING_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/requests/answer.hpp"
#include "components/requests/request_id_parts.hpp"

#include <variant>
#include <vector>

namespace requests
{

/// The incarnation that issued a request id.
struct Issuer
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;

    auto operator<=>(const Issuer &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation);
    }
};

/// An instance that is considered reachable, and the issuers whose ids it dispatches, including itself.
struct Dispatcher
{
    fleet::InstanceId m_instance;
    std::vector<Issuer> m_issuers;

    bool operator==(const Dispatcher &) const = default;
};

/// This instance dispatches the request.
struct HandleHere
{
};

struct ForwardTo
{
    fleet::InstanceId m_instance;
};

using Route = std::variant<HandleHere, ForwardTo, Answer>;

/// Decides which instance handles a request that a caller sent to this one, or answers it if its dispatcher is gone. A
/// wrong view of which instances are alive costs at most an answer of unknown outcome, because only the dispatcher of
/// the id ever sends the request to a runner.
Route route(const RequestIdParts &id, int sendCount, const fleet::InstanceId &here, const std::vector<Dispatcher> &dispatchers);

/// Returns the caller's answer after a forwarded request got none. `mayHaveBeenSent` is false only if no byte of the
/// request was sent to the other instance.
Answer answerFailedForward(int sendCount, bool mayHaveBeenSent);

}

#endif
