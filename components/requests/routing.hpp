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

/// One incarnation's ids.
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

/// An instance that is believed to be reachable, and whose ids it dispatches, its own included.
struct Dispatcher
{
    fleet::InstanceId m_instance;
    std::vector<Issuer> m_issuers;

    bool operator==(const Dispatcher &) const = default;
};

/// The request belongs here.
struct HandleHere
{
};

struct ForwardTo
{
    fleet::InstanceId m_instance;
};

using Route = std::variant<HandleHere, ForwardTo, Answer>;

/// Where a request goes that a caller sent to this instance. A wrong belief about who is alive costs an answer of
/// unknown outcome at most: only the dispatcher of the id ever sends it to a runner.
Route route(const RequestIdParts &id, int sendCount, const fleet::InstanceId &here, const std::vector<Dispatcher> &dispatchers);

/// What the caller is told after a forwarding that brought no answer. `mayHaveBeenSent` is false only where no byte of the
/// request was sent to the other instance.
Answer answerFailedForward(int sendCount, bool mayHaveBeenSent);

}

#endif
