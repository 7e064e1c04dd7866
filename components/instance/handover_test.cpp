#include "components/instance/core.hpp"
#include "components/instance/request_calls.hpp"

#include <optional>

#include <criterion/criterion.h>

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'000'000);
const fleet::RequestId request("kochi-1.1.1.00");

/// An instance that has handed over its request ids to a successor whose address is unknown.
struct HandedOverFixture
{
    HandedOverFixture()
    {
        instance::Ports ports;
        ports.m_reply = [this](requests::WaiterId, const api::Reply &reply) {
            m_reply = reply;
        };
        settings::DaemonSettings settings;
        settings.m_instance = fleet::InstanceId("kochi-1");
        settings.m_zone = fleet::ZoneId("kochi");
        settings.m_peerKeys = {"0123456789abcdef"};
        m_core.emplace(instance::makeCore(settings, fleet::Incarnation {1}, std::move(ports)));
        m_core->m_peerCalls.m_successor = fleet::InstanceId("kochi-2");
    }

    /// Submits the request with the given send count and returns the refusal.
    api::Refusal refusalOf(int sendCount)
    {
        const requests::WaiterId waiter {1};
        requests::Request sent;
        sent.m_id = request;
        sent.m_deadline = start + std::chrono::seconds(5);
        m_core->m_peerCalls.m_pendingRequests[waiter] = {sent, sendCount};
        instance::actOnRequests(*m_core, {requests::ForwardToSuccessor {waiter, request}}, start);
        cr_assert(m_reply.has_value());
        return std::get<api::Refusal>(*m_reply);
    }

    std::optional<instance::Core> m_core;
    std::optional<api::Reply> m_reply;
};

}

Test(handover, firstSubmissionAndSuccessorUnreachable_answerIsOutcomeUnknown)
{
    HandedOverFixture fixture;
    cr_assert(fixture.refusalOf(1).m_kind == api::ErrorKind::OutcomeUnknown);
}
