#include "components/api/write_reply.hpp"

#include <criterion/criterion.h>

namespace
{

bool contains(const http::Response &response, const std::string &text)
{
    return response.m_body.find(text) != std::string::npos;
}

}

Test(writeReply, refusalOfKindDraining_saysThatTheJobDidNotRun)
{
    const http::Response response = api::toResponse(api::Refusal {api::ErrorKind::Draining, "the instance is stopping; use another"});
    cr_assert_eq(response.m_status, 503);
    cr_assert(contains(response, R"("error":"draining")"));
    cr_assert(contains(response, R"("runState":"did-not-run")"));
}

Test(writeReply, unknownOutcome_hasRunStateOutcomeUnknown)
{
    const http::Response response = api::toResponse(api::Refusal {api::ErrorKind::OutcomeUnknown, "no answer yet; ask again with the same id"});
    cr_assert_eq(response.m_status, 504);
    cr_assert(contains(response, R"("runState":"outcome-unknown")"));
}

Test(writeReply, answeredRequest_carriesTheWholeAnswer)
{
    const std::string body(100'000, 'x');
    const http::Response response = api::toResponse(api::RequestView {fleet::RequestId("r"), 2, api::RunState::Done, body});
    cr_assert_eq(response.m_status, 200);
    cr_assert(contains(response, R"("attempt":2)"));
    cr_assert(contains(response, body));
}

Test(writeReply, requestInProgress_hasNoRunState)
{
    const http::Response response = api::toResponse(api::RequestView {fleet::RequestId("r"), 1, api::RunState::NotApplicable, {}});
    cr_assert_eq(response.m_status, 202);
    cr_assert_not(contains(response, "runState"));
}

Test(writeReply, jobCancelledBeforeItsFirstAttempt_didNotRun)
{
    api::JobView job;
    job.m_outcome = scheduler::JobOutcome::Cancelled;
    cr_assert(contains(api::toResponse(job), R"("runState":"did-not-run")"));
    job.m_attempt = 1;
    cr_assert(contains(api::toResponse(job), R"("runState":"done")"));
}

Test(writeReply, stoppingInstance_isUnhealthy)
{
    cr_assert_eq(api::toResponse(api::Health {false}).m_status, 503);
    cr_assert_eq(api::toResponse(api::Health {true}).m_status, 200);
}
