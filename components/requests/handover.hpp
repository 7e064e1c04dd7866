#ifndef COMPONENTS_REQUESTS_HANDOVER_HPP
#define COMPONENTS_REQUESTS_HANDOVER_HPP

#include "components/fleet/identifiers.hpp"
#include "components/fleet/incarnation.hpp"
#include "components/requests/answer.hpp"

#include <cstdint>
#include <vector>

namespace requests
{

/// The request ids of one incarnation that only this instance may dispatch.
struct IdRange
{
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    /// Highest counter that was issued.
    std::uint64_t m_highestIssued = 0;
    /// An id up to this counter that is not in the table may have been there and been removed.
    std::uint64_t m_highestForgotten = 0;

    bool operator==(const IdRange &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_instance, m_incarnation, m_highestIssued, m_highestForgotten);
    }
};

/// A request that the stopping instance finished.
struct FinishedRequest
{
    fleet::RequestId m_id;
    fleet::InstanceId m_instance;
    fleet::Incarnation m_incarnation;
    std::uint64_t m_counter = 0;
    /// Hash of the request, to distinguish a repeated submission from another request under the same id.
    std::uint64_t m_digest = 0;
    Answer m_answer;

    bool operator==(const FinishedRequest &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_instance, m_incarnation, m_counter, m_digest, m_answer);
    }
};

/// All data of an instance about the ids it dispatches. After sending it, the sender dispatches nothing any more.
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
