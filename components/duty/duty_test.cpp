#include "components/duty/state.hpp"
#include "components/duty/step.hpp"

#include <criterion/criterion.h>

using namespace duty;

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'796'367'600'000);
const fleet::ZoneId kochi {"kochi"};
const records::WriterId first {fleet::InstanceId("i1"), {1}};
const records::WriterId second {fleet::InstanceId("i2"), {2}};
const fleet::WorkerId worker {"w1"};
const fleet::WorkerId unresponsive {"w2"};

fleet::TimePoint after(int seconds)
{
    return start + std::chrono::seconds(seconds);
}

HolderRead holderRead(const records::WriterId &writer, std::uint64_t token, fleet::TimePoint requestSentAt, bool released = false)
{
    return {{kochi, writer, {token}, released}, requestSentAt};
}

template<class T>
bool contains(const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        if (std::holds_alternative<T>(action)) {
            return true;
        }
    }
    return false;
}

/// The second instance, which has just read its accepted claim from the log.
struct Fixture
{
    State m_state = makeState({}, second, kochi);

    Fixture()
    {
        step(m_state, WorkersListed {{worker, unresponsive}}, start);
        step(m_state, holderRead(first, 5, start, true), start);
        step(m_state, holderRead(second, 9, start), start);
    }
};

}

Test(duty, releasedDuty_holderRead_isClaimedAtOnceByRankZeroOnly)
{
    State near = makeState({}, second, kochi);
    const auto actions = step(near, holderRead(first, 5, start, true), start);
    cr_assert_eq(std::get<Claim>(actions.front()).m_replaces.m_value, 5U);

    State far = makeState({}, second, kochi);
    step(far, PeersChanged {false, 1, start, {}}, start);
    cr_assert_not(contains<Claim>(step(far, holderRead(first, 5, start, true), start)));
    cr_assert(contains<Claim>(step(far, Tick {}, after(1))));
}

Test(duty, holderSuspectedBriefly_tick_isNotReplaced)
{
    State state = makeState({}, second, kochi);
    step(state, holderRead(first, 5, start), start);
    cr_assert_not(contains<Claim>(step(state, PeersChanged {true, 0, start, {}}, after(1))));
    cr_assert_not(contains<Claim>(step(state, PeersChanged {false, 0, start, {}}, after(3))));
    cr_assert_not(contains<Claim>(step(state, PeersChanged {true, 0, start, {}}, after(4))));
    cr_assert(contains<Claim>(step(state, Tick {}, after(7))));
}

Test(duty, claimAccepted_untilEveryWorkerAnswered_startsNothing)
{
    Fixture f;
    cr_assert_not(mayStart(f.m_state, start));
    step(f.m_state, WorkerAnswered {worker, {9}}, start);
    cr_assert_not(mayStart(f.m_state, start));
    step(f.m_state, WorkerAnswered {unresponsive, {9}}, start);
    cr_assert(mayStart(f.m_state, start));
}

Test(duty, unresponsiveWorker_afterAuthorityAndTwoLeases_mayStart)
{
    Fixture f;
    step(f.m_state, WorkerAnswered {worker, {9}}, start);
    const Settings settings;
    const fleet::TimePoint expiry = start + settings.m_holderAuthority + 2 * settings.m_lease;
    step(f.m_state, holderRead(second, 9, expiry), expiry - std::chrono::milliseconds(1));
    cr_assert_not(mayStart(f.m_state, expiry - std::chrono::milliseconds(1)));
    step(f.m_state, Tick {}, expiry);
    cr_assert(mayStart(f.m_state, expiry));
}

Test(duty, noContactForTheAuthority_holder_mayNeitherStartNorRenew)
{
    Fixture f;
    step(f.m_state, WorkerAnswered {worker, {9}}, start);
    step(f.m_state, WorkerAnswered {unresponsive, {9}}, start);
    cr_assert(mayStart(f.m_state, after(15)));
    cr_assert_not(mayStart(f.m_state, after(16)));
    cr_assert_not(mayRenew(f.m_state, after(16)));
    step(f.m_state, PeersChanged {false, 0, after(16), {}}, after(16));
    cr_assert(mayStart(f.m_state, after(16)));
}

Test(duty, higherToken_fromLogPeerOrWorker_endsTheDuty)
{
    for (const Event &event : {Event(holderRead(first, 12, start)), Event(PeersChanged {false, 0, start, {12}}), Event(WorkerRefused {worker, {12}})}) {
        Fixture f;
        cr_assert(contains<StopScheduling>(step(f.m_state, event, start)));
        cr_assert_not(mayRenew(f.m_state, start));
    }
}

Test(duty, plannedStop_holder_endsBeforeItReleases)
{
    Fixture f;
    const auto actions = step(f.m_state, StopRequested {}, start);
    cr_assert(std::holds_alternative<StopScheduling>(actions[0]));
    cr_assert(std::holds_alternative<Release>(actions[1]));
    cr_assert_not(contains<Claim>(step(f.m_state, holderRead(second, 9, start, true), start)));
}
