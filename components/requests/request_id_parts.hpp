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

/// The contents of a request id: the incarnation that issued it and a counter. Only that incarnation, or the instance
/// that it hands its ids over to, may dispatch the request.
struct RequestIdParts
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    /// Number of the id within the incarnation, from 1.
    std::uint64_t m_counter = 0;

    auto operator<=>(const RequestIdParts &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation, m_counter);
    }
};

/// Formats the id for callers: instance, incarnation, counter and a tag made with the signing key, joined by dots.
fleet::RequestId formatId(const wire::Keys &keys, const RequestIdParts &id);

/// Parses the output of formatId(). Empty if the text is malformed or its tag matches neither key.
std::optional<RequestIdParts> parseId(const wire::Keys &keys, const fleet::RequestId &text);

}

#endif
