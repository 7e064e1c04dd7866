#ifndef COMPONENTS_REQUESTS_REQUEST_ID_PARTS_HPP
#define COMPONENTS_REQUESTS_REQUEST_ID_PARTS_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/wire/keys.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace requests
{

/// What a request id says: the incarnation that issued it, and so the only one that may dispatch it, and its number.
struct RequestIdParts
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    /// Counts the ids of the incarnation from 1.
    std::uint64_t m_counter = 0;

    auto operator<=>(const RequestIdParts &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation, m_counter);
    }
};

/// Writes the id for callers: instance, incarnation, counter and a tag under the signing key, joined by dots.
fleet::RequestId formatId(const wire::Keys &keys, const RequestIdParts &id);

/// Reverses formatId(). Empty where the text is malformed or its tag fits neither key.
std::optional<RequestIdParts> parseId(const wire::Keys &keys, const fleet::RequestId &text);

}

#endif
