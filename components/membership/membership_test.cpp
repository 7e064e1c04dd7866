#include "components/membership/state.hpp"
#include "components/membership/step.hpp"
#include "components/membership/view.hpp"
#include "components/records/holder.hpp"
#include "components/wire/codec.hpp"

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace membership;

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'796'367'600'000);

fleet::InstanceId instance(int number)
{
    return fleet::InstanceId("i" + std::to_string(number));
}

fleet::ZoneId zone(int number)
{
    return fleet::ZoneId("z" + std::to_string(number));
}

/// Simulates instances of several zones that exchange heartbeats in one process, one interval at a time.
struct Site
{
    std::vector<State> m_states;
    fleet::TimePoint m_now = start;
    std::size_t m_bytes = 0;
    std::size_t m_messages = 0;

    Site(int zones, int perZone)
    {
        ListRead list {start, {}};
        for (int i = 0; i < zones * perZone; ++i) {
            m_states.push_back(makeState({}, instance(i), {static_cast<std::uint64_t>(100 + i)}, zone(i / perZone), std::to_string(i)));
            list.m_instances.push_back({instance(i), zone(i / perZone), std::to_string(i), false});
        }
        for (State &state : m_states) {
            step(state, list, m_now);
        }
    }

    void deliver(const Actions &actions)
    {
        for (const SendHeartbeat &action : actions) {
            m_bytes += wire::encode(1, action.m_heartbeat).size();
            ++m_messages;
            step(m_states[std::stoul(action.m_address)], HeartbeatReceived {action.m_heartbeat}, m_now);
        }
    }

    void run(int intervals)
    {
        for (int i = 0; i < intervals; ++i) {
            m_now += Settings().m_heartbeatInterval;
            for (State &state : m_states) {
                deliver(step(state, Tick {}, m_now));
            }
        }
    }
};

}

Test(membership, quietSite_heartbeats_keepEveryoneFit)
{
    Site site(3, 3);
    site.run(5);
    for (const State &state : site.m_states) {
        cr_assert_eq(countFitInstances(state, site.m_now), 9);
    }
}

Test(membership, leavingInstance_olderListAndGossip_staysLeaving)
{
    const bool holds = rc::check([] {
        Site site(2, 2);
        site.run(2);
        State &state = site.m_states[0];
        Heartbeat old = step(site.m_states[1], Tick {}, site.m_now + std::chrono::seconds(1)).front().m_heartbeat;
        site.deliver(step(site.m_states[1], StopRequested {}, site.m_now));
        const int count = *rc::gen::inRange(1, 20);
        for (int i = 0; i < count; ++i) {
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                step(state, HeartbeatReceived {old}, site.m_now);
                break;
            case 1:
                step(state, ListRead {start, {{instance(1), zone(0), "1", false}}}, site.m_now);
                break;
            default:
                old.m_from = instance(2);
                old.m_incarnation = {102};
                old.m_gossip = {{instance(1), {101}, zone(0), "1", MemberPhase::Live, {}}};
                step(state, HeartbeatReceived {old}, site.m_now);
            }
            RC_ASSERT(!isFit(state, state.m_members.at(instance(1)), site.m_now));
        }
    });
    cr_assert(holds);
}

Test(membership, newIncarnationAfterLeaving_heartbeat_isFitAgain)
{
    Site site(1, 2);
    site.run(2);
    site.deliver(step(site.m_states[1], StopRequested {}, site.m_now));
    cr_assert_eq(countFitInstances(site.m_states[0], site.m_now), 1);
    site.m_states[1] = makeState({}, instance(1), {500}, zone(0), "1");
    step(site.m_states[1], ListRead {start, {{instance(0), zone(0), "0", false}}}, site.m_now);
    site.run(2);
    cr_assert_eq(countFitInstances(site.m_states[0], site.m_now), 2);
}

Test(membership, freshViewOfOneInstance_heartbeats_reachTheOthersByRelay)
{
    Site site(3, 1);
    site.run(3);
    step(site.m_states[2], LogRead {site.m_now}, site.m_now);
    const fleet::TimePoint readAt = site.m_now;
    site.run(4);
    cr_assert(site.m_states[0].m_viewFreshAt.has_value());
    cr_assert_leq(*site.m_states[0].m_viewFreshAt, readAt);
    cr_assert_geq(*site.m_states[0].m_viewFreshAt, readAt - std::chrono::seconds(3));
}

Test(membership, freshViewOfALaterVersion_relay_doesNotCountHere)
{
    Site site(2, 1);
    site.run(3);
    step(site.m_states[1], ConfigurationKnown {{5}, {}}, site.m_now);
    step(site.m_states[1], LogRead {site.m_now}, site.m_now);
    site.run(3);
    cr_assert_not(site.m_states[0].m_viewFreshAt.has_value());
    cr_assert(isBehind(site.m_states[0]));
    step(site.m_states[0], ConfigurationKnown {{5}, {}}, site.m_now);
    site.run(1);
    cr_assert(site.m_states[0].m_viewFreshAt.has_value());
}

Test(membership, messagesOfAPausedProcess_heartbeat_proveNothingRecent)
{
    Site site(2, 1);
    site.run(3);
    step(site.m_states[1], LogRead {site.m_now}, site.m_now);
    const auto waiting = step(site.m_states[1], Tick {}, site.m_now + std::chrono::seconds(1));
    const fleet::TimePoint wakesAt = site.m_now + std::chrono::minutes(10);
    step(site.m_states[0], HeartbeatReceived {waiting.front().m_heartbeat}, wakesAt);
    cr_assert_leq(*site.m_states[0].m_viewFreshAt, site.m_now);
    cr_assert_leq(otherZonesHeardAt(site.m_states[0], wakesAt), site.m_now);
}

Test(membership, takeOutWithoutLog_heartbeats_spreadItAndConfirm)
{
    Site site(3, 2);
    site.run(3);
    const TakeOut takeOut {configuration::ChangeId("c1"), zone(2), fleet::OperatorId("op"), "flood", site.m_now};
    const Actions actions = step(site.m_states[0], TakeOutRequested {takeOut}, site.m_now);
    cr_assert_not(isConfirmed(site.m_states[0], takeOut.m_id));
    cr_assert_eq(unconfirmedInstances(site.m_states[0], takeOut).size(), 2U);
    site.deliver(actions);
    site.run(2);
    cr_assert(isConfirmed(site.m_states[0], takeOut.m_id));
    cr_assert(provisionallyOut(site.m_states[5]) == std::vector<fleet::ZoneId> {zone(2)});
    step(site.m_states[5], ConfigurationKnown {{1}, {takeOut.m_id}}, site.m_now);
    site.run(1);
    cr_assert(provisionallyOut(site.m_states[5]).empty());
}

Test(membership, unresponsiveHolder_dutyView_isUnfitAfterTheSuspicionTime)
{
    Site site(1, 3);
    site.run(3);
    const records::Holder holder {zone(0), {instance(2), {102}}, {7}, false};
    cr_assert_not(dutyView(site.m_states[0], holder, site.m_now).m_holderUnfit);
    cr_assert(dutyView(site.m_states[0], holder, site.m_now + std::chrono::seconds(5)).m_holderUnfit);
    const records::Holder earlier {zone(0), {instance(2), {99}}, {7}, false};
    cr_assert(dutyView(site.m_states[0], earlier, site.m_now).m_holderUnfit);
}

Test(membership, largerSites_bytesOfOneInstance_growNoFasterThanTheInstances)
{
    double perInstance[2];
    const int zones[2] = {3, 11};
    for (int i = 0; i < 2; ++i) {
        Site site(zones[i], 3);
        site.run(10);
        site.m_bytes = 0;
        site.m_messages = 0;
        site.run(20);
        perInstance[i] = static_cast<double>(site.m_bytes) / 20.0 / (zones[i] * 3);
        cr_log_info("%d instances: %.0f bytes a second and %.1f messages a second each",
                    zones[i] * 3,
                    perInstance[i],
                    static_cast<double>(site.m_messages) / 20.0 / (zones[i] * 3));
    }
    cr_assert_leq(perInstance[1] / perInstance[0], 33.0 / 9.0);
}
