#include "components/http/choose_closings.hpp"

#include <algorithm>
#include <set>

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using Phase = http::ConnectionPhase;

const http::SteadyTime start {std::chrono::hours(1)};

http::ConnectionUse use(std::uint64_t number, Phase phase, std::size_t held, std::chrono::milliseconds stalled, bool isServed = false)
{
    return {number, phase, held, isServed, start - stalled};
}

}

/// A large body that is arriving must not be closed in favour of one that stopped just short of its end.
Test(chooseClosings, stalledBodyAndArrivingBody_stalledOneIsClosed)
{
    const std::vector<http::ConnectionUse> uses {use(1, Phase::Reading, 200'000, 1ms), use(2, Phase::Reading, 100'000, 900ms)};
    cr_assert((http::chooseClosingsForBytes(uses, 50'000, start) == std::vector<std::uint64_t> {2}));
}

/// Idle callers would lose their connections although closing them frees nothing.
Test(chooseClosings, bytesShort_idleConnectionsAndHandledRequestsAreKept)
{
    const std::vector<http::ConnectionUse> uses {use(1, Phase::Idle, 512, 60s), use(2, Phase::Handling, 200'000, 60s), use(3, Phase::Reading, 10, 1ms)};
    cr_assert((http::chooseClosingsForBytes(uses, 100'000, start) == std::vector<std::uint64_t> {3}));
}

/// Connections that send nothing must not displace a caller that keeps its connection.
Test(chooseClosings, connectionsShort_neverServedOnesComeFirst)
{
    const std::vector<http::ConnectionUse> uses {use(1, Phase::Idle, 0, 50s, true), use(2, Phase::Idle, 0, 1s), use(3, Phase::Idle, 0, 2s)};
    cr_assert((http::chooseClosingsForCount(uses, 2) == std::vector<std::uint64_t> {3, 2}));
}

Test(chooseClosings, anyUses_enoughIsFreedAndNothingMore)
{
    const bool holds = rc::check("chosen connections are needed, distinct and not handled", [] {
        std::vector<http::ConnectionUse> uses;
        const auto count = *rc::gen::inRange<std::uint64_t>(0, 20);
        std::size_t closable = 0;
        for (std::uint64_t i = 0; i < count; ++i) {
            const auto phase = *rc::gen::element(Phase::Idle, Phase::Reading, Phase::Handling, Phase::Writing);
            const auto held = *rc::gen::inRange<std::size_t>(0, 1000);
            uses.push_back(use(i, phase, held, std::chrono::milliseconds(*rc::gen::inRange(0, 5000))));
            closable += phase == Phase::Reading || phase == Phase::Writing ? held : 0;
        }
        const auto bytes = *rc::gen::inRange<std::size_t>(1, 5000);
        const auto chosen = http::chooseClosingsForBytes(uses, bytes, start);
        RC_ASSERT(std::set<std::uint64_t>(chosen.begin(), chosen.end()).size() == chosen.size());
        std::size_t freed = 0;
        std::size_t freedBeforeLast = 0;
        for (const std::uint64_t number : chosen) {
            RC_ASSERT(uses[number].m_phase != Phase::Handling);
            RC_ASSERT(uses[number].m_phase != Phase::Idle);
            freedBeforeLast = freed;
            freed += uses[number].m_heldBytes;
        }
        RC_ASSERT(freed >= std::min(bytes, closable));
        RC_ASSERT(chosen.empty() || freedBeforeLast < bytes);
    });
    cr_assert(holds);
}
