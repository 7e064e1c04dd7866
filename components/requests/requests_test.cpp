#include "components/requests/request_error.hpp"
#include "components/requests/request_id_parts.hpp"
#include "components/requests/routing.hpp"
#include "components/requests/state.hpp"
#include "components/requests/step.hpp"

#include <optional>

#include <criterion/criterion.h>

using namespace requests;

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'796'367'600'000);
const wire::Keys keys {"first key", {}};
const fleet::AccountId studio {"studio"};

struct Fixture
{
    State m_state = makeState({}, fleet::InstanceId("i1"), {7}, fleet::ZoneId("kochi"));

    Fixture()
    {
        step(m_state, AccountsChanged {{{studio, 1.0, 3600.0}}}, start);
        step(m_state, RunnerListed {fleet::RunnerId("r1"), fleet::ZoneId("kochi"), 8, 60, false}, start);
    }

    Submitted submission(bool idempotent, int sendCount = 1)
    {
        const RequestIdParts idParts = issueId(m_state);
        Request request;
        request.m_id = formatId(keys, idParts);
        request.m_account = studio;
        request.m_kind = "slot match";
        request.m_idempotent = idempotent;
        request.m_deadline = start + std::chrono::seconds(30);
        request.m_body = "body";
        return {request, idParts, sendCount, {1}};
    }

    void addRunners(int count)
    {
        for (int i = 2; i < 2 + count; ++i) {
            step(m_state, RunnerListed {fleet::RunnerId("r" + std::to_string(i)), fleet::ZoneId("kochi"), 8, 60, false}, start);
        }
    }
};

template<class T>
std::vector<T> select(const std::vector<Action> &actions)
{
    std::vector<T> found;
    for (const Action &action : actions) {
        if (const T *value = std::get_if<T>(&action)) {
            found.push_back(*value);
        }
    }
    return found;
}

RunnerAnswered answerTo(const Dispatch &dispatch, bool ran = true)
{
    return {dispatch.m_request, dispatch.m_attempt, dispatch.m_runner, ran, "answer"};
}

}

Test(requestIdParts, genuineText_parse_givesTheParts)
{
    const RequestIdParts id {fleet::InstanceId("kochi.1"), {0xABCDEF}, 42};
    cr_assert(parseId(keys, formatId(keys, id)) == std::optional(id));
    cr_assert(parseId({"second key", "first key"}, formatId(keys, id)) == std::optional(id));
    cr_assert_not(parseId({"other key", {}}, formatId(keys, id)).has_value());
    cr_assert_not(parseId(keys, fleet::RequestId("kochi.1.abcdef.2b." + formatId(keys, id).value().substr(18))).has_value());
}

Test(requests, repeatedSubmissionAfterAnswer_submit_givesStoredAnswerWithoutDispatch)
{
    Fixture f;
    const Submitted event = f.submission(false);
    const auto dispatches = select<Dispatch>(step(f.m_state, event, start));
    cr_assert_eq(dispatches.size(), 1U);
    step(f.m_state, answerTo(dispatches.front()), start);
    const auto actions = step(f.m_state, event, start);
    cr_assert(select<Dispatch>(actions).empty());
    cr_assert_eq(select<Reply>(actions).front().m_answer.m_body, "answer");
}

Test(requests, connectionLostAfterSend_nonIdempotent_isUnknownAndNeverSentAgain)
{
    Fixture f;
    f.addRunners(3);
    const Submitted event = f.submission(false);
    const Dispatch dispatch = select<Dispatch>(step(f.m_state, event, start)).front();
    const auto actions = step(f.m_state, DispatchFailed {dispatch.m_request, 1, dispatch.m_runner, true}, start);
    cr_assert(select<Dispatch>(actions).empty());
    cr_assert(select<Reply>(actions).front().m_answer.m_kind == AnswerKind::OutcomeUnknown);
    cr_assert(select<Dispatch>(step(f.m_state, event, start + std::chrono::seconds(1))).empty());
}

Test(requests, noConnectionMade_nonIdempotent_goesToAnotherRunner)
{
    Fixture f;
    f.addRunners(3);
    const Dispatch first = select<Dispatch>(step(f.m_state, f.submission(false), start)).front();
    const auto again = select<Dispatch>(step(f.m_state, DispatchFailed {first.m_request, 1, first.m_runner, false}, start));
    cr_assert_eq(again.size(), 1U);
    cr_assert(again.front().m_runner != first.m_runner);
}

Test(requests, runnerSaysNotRun_nonIdempotent_isRefusedPermanently)
{
    Fixture f;
    const Submitted event = f.submission(false);
    const Dispatch dispatch = select<Dispatch>(step(f.m_state, event, start)).front();
    const auto refused = select<Reply>(step(f.m_state, answerTo(dispatch, false), start));
    cr_assert(refused.front().m_answer.m_kind == AnswerKind::DidNotRun);
    cr_assert(select<Dispatch>(step(f.m_state, event, start)).empty());
}

Test(requests, deadlineAfterDispatch_tick_saysUnknownAndKeepsALateAnswer)
{
    Fixture f;
    const Submitted event = f.submission(false);
    const Dispatch dispatch = select<Dispatch>(step(f.m_state, event, start)).front();
    const fleet::TimePoint late = start + std::chrono::seconds(31);
    cr_assert(select<Reply>(step(f.m_state, Tick {}, late)).front().m_answer.m_kind == AnswerKind::OutcomeUnknown);
    step(f.m_state, answerTo(dispatch), late);
    cr_assert(select<Reply>(step(f.m_state, event, late)).front().m_answer.m_kind == AnswerKind::Done);
}

Test(requests, sameIdOtherBody_submit_isRefusedForThatSubmissionOnly)
{
    Fixture f;
    Submitted event = f.submission(false);
    const Dispatch dispatch = select<Dispatch>(step(f.m_state, event, start)).front();
    event.m_request.m_body = "another";
    cr_assert(select<Reply>(step(f.m_state, event, start)).front().m_answer.m_kind == AnswerKind::DidNotRun);
    cr_assert(select<Reply>(step(f.m_state, answerTo(dispatch), start)).front().m_answer.m_kind == AnswerKind::Done);
}

Test(requests, mismatchedAnswer_wrongAttemptOrRunner_isIgnored)
{
    Fixture f;
    f.addRunners(1);
    const Dispatch dispatch = select<Dispatch>(step(f.m_state, f.submission(true), start)).front();
    RunnerAnswered wrong = answerTo(dispatch);
    wrong.m_attempt = 2;
    cr_assert(step(f.m_state, wrong, start).empty());
    wrong = answerTo(dispatch);
    wrong.m_runner = fleet::RunnerId("elsewhere");
    cr_assert(step(f.m_state, wrong, start).empty());
    cr_assert_eq(f.m_state.m_strayAnswers, 2U);
}

Test(requests, leavingRunner_submit_getsNothingEvenWhenListedAgainAsStaying)
{
    Fixture f;
    step(f.m_state, RunnerListed {fleet::RunnerId("r1"), fleet::ZoneId("kochi"), 8, 60, true}, start);
    step(f.m_state, RunnerListed {fleet::RunnerId("r1"), fleet::ZoneId("kochi"), 8, 60, false}, start);
    cr_assert(select<Dispatch>(step(f.m_state, f.submission(false), start)).empty());
}

Test(requests, forgottenEntry_submit_isNotTreatedAsNew)
{
    Fixture f;
    Submitted event = f.submission(false);
    const Dispatch dispatch = select<Dispatch>(step(f.m_state, event, start)).front();
    step(f.m_state, answerTo(dispatch), start);
    const fleet::TimePoint late = start + std::chrono::hours(1);
    step(f.m_state, Tick {}, late);
    cr_assert(f.m_state.m_entries.empty());
    event.m_sendCount = 2;
    event.m_request.m_deadline = late + std::chrono::seconds(30);
    const auto actions = step(f.m_state, event, late);
    cr_assert(select<Dispatch>(actions).empty());
    cr_assert(select<Reply>(actions).front().m_answer.m_kind == AnswerKind::OutcomeUnknown);
}

Test(requests, twoAccountsWithWeights_dispatch_followsTheWeights)
{
    Fixture f;
    const fleet::AccountId utility("utility");
    step(f.m_state, AccountsChanged {{{studio, 3.0, 0.0}, {utility, 1.0, 0.0}}}, start);
    std::vector<Dispatch> open;
    for (int i = 0; i < 200; ++i) {
        Submitted event = f.submission(true);
        event.m_request.m_account = i % 2 == 0 ? studio : utility;
        for (const Dispatch &dispatch : select<Dispatch>(step(f.m_state, event, start))) {
            open.push_back(dispatch);
        }
    }
    int studioRuns = 0;
    for (std::size_t i = 0; i < 88; ++i) {
        const auto next = select<Dispatch>(step(f.m_state, answerTo(open[i]), start));
        studioRuns += static_cast<int>(i >= 8 && open[i].m_account == studio);
        open.insert(open.end(), next.begin(), next.end());
    }
    cr_assert(studioRuns >= 57 && studioRuns <= 63, "studio had %d of 80", studioRuns);
}

Test(requests, deadlineTooClose_submit_isShedBeforeQueueing)
{
    Fixture f;
    Submitted event = f.submission(false);
    event.m_request.m_deadline = start + std::chrono::milliseconds(50);
    const auto actions = step(f.m_state, event, start);
    cr_assert(select<Reply>(actions).front().m_answer.m_kind == AnswerKind::DidNotRun);
    cr_assert(select<Dispatch>(actions).empty());
}

Test(requests, plannedStop_handOver_letsTheSuccessorAnswerAndStopsDispatching)
{
    Fixture f;
    const Submitted done = f.submission(false);
    const Dispatch dispatch = select<Dispatch>(step(f.m_state, done, start)).front();
    step(f.m_state, answerTo(dispatch), start);
    const Submitted unseen = f.submission(false);
    std::vector<Action> actions;
    const Handover handover = handOver(f.m_state, actions, start);

    State successor = makeState({}, fleet::InstanceId("i2"), {8}, fleet::ZoneId("kochi"));
    step(successor, AccountsChanged {{{studio, 1.0, 3600.0}}}, start);
    step(successor, RunnerListed {fleet::RunnerId("r1"), fleet::ZoneId("kochi"), 8, 60, false}, start);
    cr_assert(select<HandoverReply>(step(successor, HandoverReceived {handover}, start)).front().m_accepted);
    cr_assert_eq(select<Reply>(step(successor, done, start)).front().m_answer.m_body, "answer");
    cr_assert_eq(select<Dispatch>(step(successor, unseen, start)).size(), 1U);
    cr_assert_eq(select<ForwardToSuccessor>(step(f.m_state, unseen, start)).size(), 1U);
    cr_assert_throw(issueId(f.m_state), RequestError);
}

Test(routing, issuerGone_route_refusesOnlyAFirstSubmission)
{
    const RequestIdParts id {fleet::InstanceId("i1"), {7}, 1};
    const fleet::InstanceId here("i2");
    const std::vector<Dispatcher> dispatchersAfterHandover {{fleet::InstanceId("i3"), {{fleet::InstanceId("i3"), {9}}, {fleet::InstanceId("i1"), {7}}}}};
    cr_assert(std::get<ForwardTo>(route(id, 1, here, dispatchersAfterHandover)).m_instance == fleet::InstanceId("i3"));
    cr_assert(std::get<Answer>(route(id, 1, here, {})).m_kind == AnswerKind::DidNotRun);
    cr_assert(std::get<Answer>(route(id, 2, here, {})).m_kind == AnswerKind::OutcomeUnknown);
}
