#ifndef COMPONENTS_REQUESTS_HANDOVER_HPP
#define COMPONENTS_REQUESTS_HANDOVER_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/requests/answer.hpp"

#include <cstdint>
#include <vector>

namespace requests
{

/// The ids of one incarnation, as far as this instance is their sole dispatcher.
struct IdRange
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    /// Highest counter issued.
    std::uint64_t m_highestIssued = 0;
    /// An id up to this counter that is not in the table may have been there and been forgotten.
    std::uint64_t m_highestForgotten = 0;

    bool operator==(const IdRange &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation, m_highestIssued, m_highestForgotten);
    }
};

/// A request that was finished by the instance that stops.
struct FinishedRequest
{
    fleet::RequestId m_id;
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    std::uint64_t m_counter = 0;
    /// Digest of the request, to tell a repeated sending from another request under the same id.
    std::uint64_t m_digest = 0;
    Answer m_answer;

    bool operator==(const FinishedRequest &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_instance, m_incarnation, m_counter, m_digest, m_answer);
    }
};

/// Everything an instance knows about the ids it dispatches. After sending it, the sender dispatches nothing more.
struct Handover
{
    std::vector<IdRange> m_ranges;
    std::vector<FinishedRequest> m_finished;

    bool operator==(const Handover &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_ranges, m_finished);
    }
};

}

#endif
