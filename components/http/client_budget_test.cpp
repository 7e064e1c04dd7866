#include "components/http/client_budget.hpp"

#include <map>
#include <set>

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace
{

using Kind = http::ClientKind;
using Phase = http::ConnectionPhase;

constexpr std::size_t shareBytes = 1000;
constexpr std::size_t shareConnections = 8;

http::ClientBudgetSettings smallShares()
{
    http::ClientBudgetSettings settings;
    settings.m_shares.fill({shareBytes, shareConnections});
    return settings;
}

http::SteadyTime at(int milliseconds)
{
    return http::SteadyTime(std::chrono::milliseconds(milliseconds));
}

}

/// An error in the accounting would shrink the budget with each request until every client is refused.
Test(clientBudget, anySequence_sumsAreThoseOfTheOpenConnections)
{
    const bool holds = rc::check("sums are exact after every step, and nothing is left at the end", [] {
        http::ClientBudget budget(smallShares());
        std::map<std::uint64_t, std::pair<Kind, std::size_t>> open;
        std::set<std::uint64_t> asked;
        const auto steps = *rc::gen::inRange(0, 120);
        for (int step = 0; step < steps; ++step) {
            const auto kind = *rc::gen::element(Kind::Caller, Kind::Readiness, Kind::Metrics);
            const auto action = *rc::gen::inRange(0, 6);
            if (action == 0 || open.empty()) {
                const auto next = std::make_shared<std::uint64_t>(0);
                const auto number = budget.open(kind, at(step), [&asked, next](http::CloseCause) {
                    asked.insert(*next);
                });
                if (number) {
                    *next = *number;
                    open[*number] = {kind, 0};
                }
            } else {
                const auto chosen = std::next(open.begin(), *rc::gen::inRange<std::size_t>(0, open.size()));
                const auto number = chosen->first;
                if (action == 1) {
                    budget.close(chosen->second.first, number);
                    // A second close of the same connection must not count.
                    budget.close(chosen->second.first, number);
                    open.erase(chosen);
                } else {
                    const auto phase = *rc::gen::element(Phase::Idle, Phase::Reading, Phase::Handling, Phase::Writing);
                    const auto held = *rc::gen::inRange<std::size_t>(0, 600);
                    budget.update(chosen->second.first, number, phase, held, true, at(step));
                    chosen->second.second = held;
                }
            }
            std::map<Kind, std::size_t> bytes;
            std::map<Kind, std::size_t> connections;
            for (const auto &[number, entry] : open) {
                bytes[entry.first] += entry.second;
                ++connections[entry.first];
            }
            for (const auto each : {Kind::Caller, Kind::Readiness, Kind::Metrics}) {
                RC_ASSERT(budget.heldBytes(each) == bytes[each]);
                RC_ASSERT(budget.connections(each) == connections[each]);
                RC_ASSERT(budget.connections(each) <= 2 * shareConnections);
            }
        }
        for (const auto &[number, entry] : open) {
            budget.close(entry.first, number);
        }
        for (const auto each : {Kind::Caller, Kind::Readiness, Kind::Metrics}) {
            RC_ASSERT(budget.heldBytes(each) == 0U);
            RC_ASSERT(budget.connections(each) == 0U);
        }
    });
    cr_assert(holds);
}

/// Connections that do as they are asked must keep the held bytes under the limit.
Test(clientBudget, readersThatCloseWhenAsked_stayUnderTheLimit)
{
    const bool holds = rc::check("held bytes never exceed the share once all asked connections have closed", [] {
        http::ClientBudget budget(smallShares());
        std::vector<std::uint64_t> toClose;
        std::set<std::uint64_t> open;
        const auto steps = *rc::gen::inRange(0, 120);
        for (int step = 0; step < steps; ++step) {
            const auto next = std::make_shared<std::uint64_t>(0);
            if (const auto number = budget.open(Kind::Caller, at(step), [&toClose, next](http::CloseCause) {
                    toClose.push_back(*next);
                })) {
                *next = *number;
                open.insert(*number);
            }
            const auto chosen = *std::next(open.begin(), *rc::gen::inRange<std::size_t>(0, open.size()));
            if (!budget.update(Kind::Caller, chosen, Phase::Reading, *rc::gen::inRange<std::size_t>(0, 1500), true, at(step))) {
                toClose.push_back(chosen);
            }
            for (const std::uint64_t number : toClose) {
                budget.close(Kind::Caller, number);
                open.erase(number);
            }
            toClose.clear();
            RC_ASSERT(budget.heldBytes(Kind::Caller) <= shareBytes);
            RC_ASSERT(budget.connections(Kind::Caller) <= shareConnections);
        }
    });
    cr_assert(holds);
}

/// Callers that use up their share must not make the instance appear unready.
Test(clientBudget, callersUseTheirShareUp_readinessAndMetricsHaveRoom)
{
    http::ClientBudget budget(smallShares());
    for (std::size_t i = 0; i < shareConnections; ++i) {
        const auto number = budget.open(Kind::Caller, at(0), [](http::CloseCause) {});
        cr_assert(number);
        budget.update(Kind::Caller, *number, Phase::Handling, shareBytes, true, at(0));
    }
    cr_assert_not(budget.open(Kind::Caller, at(1), [](http::CloseCause) {}));
    for (const auto kind : {Kind::Readiness, Kind::Metrics}) {
        const auto number = budget.open(kind, at(1), [](http::CloseCause) {});
        cr_assert(number);
        cr_assert(budget.update(kind, *number, Phase::Reading, shareBytes / 2, true, at(1)));
    }
}
