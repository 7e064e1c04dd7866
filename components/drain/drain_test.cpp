#include "components/drain/state.hpp"
#include "components/drain/step.hpp"

#include <criterion/criterion.h>

using namespace drain;

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'796'367'600'000);
const fleet::InstanceId successor {"i2"};

fleet::TimePoint after(int seconds)
{
    return start + std::chrono::seconds(seconds);
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

}

Test(drain, wholePlannedStop_step_finishesBeforeHandoverAndEndsClean)
{
    State state;
    cr_assert(contains<BeginLeaving>(step(state, StopSignal {}, start)));
    cr_assert_not(contains<StopListening>(step(state, Progress {false, false, successor}, after(4))));
    cr_assert(contains<StopListening>(step(state, Tick {}, after(5))));
    cr_assert_not(contains<SendHandover>(step(state, Tick {}, after(20))));
    cr_assert(contains<SendHandover>(step(state, Progress {true, false, successor}, after(21))));
    cr_assert_not(contains<NotifyProcessEnding>(step(state, HandoverAnswered {successor, true}, after(21))));
    cr_assert(contains<NotifyProcessEnding>(step(state, Progress {true, true, successor}, after(22))));
    const auto last = step(state, Tick {}, after(24));
    cr_assert(std::get<Exit>(last.back()).m_clean);
}

Test(drain, secondSignal_step_endsAtOnceUnclean)
{
    State state;
    step(state, StopSignal {}, start);
    const auto actions = step(state, StopSignal {}, after(1));
    cr_assert_not(std::get<Exit>(actions.back()).m_clean);
    cr_assert(step(state, StopSignal {}, after(2)).empty());
}

Test(drain, requestsNeverIdle_step_handsOverAndEndsByTheLimit)
{
    State state;
    step(state, StopSignal {}, start);
    step(state, Progress {false, false, successor}, after(5));
    cr_assert(contains<SendHandover>(step(state, Tick {}, after(50))));
    const auto last = step(state, Tick {}, after(60));
    cr_assert_not(std::get<Exit>(last.back()).m_clean);
}

Test(drain, handoverAnswerLost_step_asksTheSameSuccessorAgain)
{
    State state;
    step(state, StopSignal {}, start);
    step(state, Progress {true, true, successor}, after(1));
    step(state, Tick {}, after(5));
    step(state, Progress {true, true, fleet::InstanceId("i3")}, after(5));
    const auto again = step(state, Tick {}, after(6));
    cr_assert(std::get<SendHandover>(again.front()).m_successor == successor);
    const auto other = step(state, HandoverAnswered {successor, false}, after(6));
    cr_assert(std::get<SendHandover>(other.front()).m_successor == fleet::InstanceId("i3"));
}
