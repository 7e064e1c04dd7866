#include "components/http/result.hpp"
#include "components/platform/base64.hpp"
#include "components/platform/decode_error.hpp"
#include "components/platform/list_codec.hpp"
#include "components/platform/log_codec.hpp"
#include "components/platform/runner_codec.hpp"
#include "components/platform/worker_codec.hpp"

#include <rapidcheck.h>

#include <string>

#include <criterion/criterion.h>

namespace
{

using scheduler::CommandKind;
using scheduler::TaskPhase;

http::Result answered(int status, std::string body)
{
    return {http::ResultKind::Answered, {status, std::move(body), "application/json", {}}, {}};
}

http::Result unanswered(http::ResultKind kind)
{
    return {kind, {}, "connection closed"};
}

template<class Function>
bool throwsDecodeError(Function function)
{
    try {
        function();
    } catch (const platform::DecodeError &) {
        return true;
    }
    return false;
}

platform::RunRequest sampleRequest()
{
    return {fleet::RequestId("r-1"), 2, fleet::AccountId("booth"), "slot-match", "line \"one\"\nline two"};
}

}

Test(base64, anyBytes_decodeToThemselves)
{
    cr_assert(rc::check([](const std::string &bytes) {
        RC_ASSERT(platform::decodeBase64(platform::encodeBase64(bytes)) == bytes);
    }));
}

Test(base64, invalidTexts_areRejected)
{
    for (const char *text : {"a", "abc", "ab=c", "====", "YQ==\n", " YQ=", "Y*=="}) {
        cr_assert(throwsDecodeError([text] {
                      platform::decodeBase64(text);
                  }),
                  "%s",
                  text);
    }
}

Test(log_codec, page_decodesToItself)
{
    const platform::LogPage page {3, 21, {{17, fleet::fromMilliseconds(1796367600000), std::string("a\0b", 3)}}};
    cr_assert(platform::decodeLogPage(platform::encodeLogPage(page)) == page);
}

Test(log_codec, pageWithInvalidField_isRejected)
{
    for (const char *text : {"", "[]", R"({"first":0,"end":1})", R"({"first":-1,"end":1,"records":[]})", R"({"first":0,"end":1,"records":[3]})"}) {
        cr_assert(throwsDecodeError([text] {
                      platform::decodeLogPage(text);
                  }),
                  "%s",
                  text);
    }
}

Test(log_codec, appendResponses_areDistinguished)
{
    using platform::AppendKind;
    const auto appended = platform::toAppendResult(answered(200, platform::encodeAppended(17)));
    cr_assert(appended.m_kind == AppendKind::Appended);
    cr_assert_eq(appended.m_offset, 17U);
    cr_assert(platform::toAppendResult(answered(503, platform::encodeNotAppended())).m_kind == AppendKind::NotAppended);
    cr_assert(platform::toAppendResult(answered(503, "{}")).m_kind == AppendKind::Unknown);
    cr_assert(platform::toAppendResult(answered(200, "half")).m_kind == AppendKind::Unknown);
    cr_assert(platform::toAppendResult(unanswered(http::ResultKind::NotSent)).m_kind == AppendKind::NotAppended);
    cr_assert(platform::toAppendResult(unanswered(http::ResultKind::Unknown)).m_kind == AppendKind::Unknown);
}

Test(list_codec, list_decodesToItself)
{
    platform::PlatformList list;
    list.m_asOf = fleet::fromMilliseconds(5);
    list.m_instances.push_back({fleet::InstanceId("i-1"), fleet::ZoneId("kochi"), {"127.0.0.1", 1}, true});
    list.m_workers.push_back({{fleet::WorkerId("w-1"), fleet::ZoneId("kochi"), fleet::RackId("r-1"), {32000, 64000, 8}}, {"127.0.0.1", 2}, false});
    list.m_runners.push_back({fleet::RunnerId("n-1"), fleet::ZoneId("kochi"), {"127.0.0.1", 3}, 8, 60, true});
    cr_assert(platform::decodeList(platform::encodeList(list)) == list);
}

Test(list_codec, unknownState_isRejected)
{
    cr_assert(throwsDecodeError([] {
        platform::decodeInstance(R"({"id":"a","zone":"z","address":"127.0.0.1:1","state":"gone"})");
    }));
}

Test(worker_codec, commands_decodeToThemselves)
{
    platform::CommandMessage message {fleet::InstanceId("i-1"), {42}, {}};
    const fleet::WorkerId worker("w-1");
    const scheduler::TaskRef task {fleet::JobId("j"), 1, 3};
    const fleet::Duration lease {10'000};
    message.m_commands.push_back({{worker, CommandKind::Reserve, task, {1000, 2000, 2}, lease, {}}, {}});
    message.m_commands.push_back({{worker, CommandKind::Start, task, {}, lease, fleet::Duration(700)}, fleet::Duration(5000)});
    message.m_commands.push_back({{worker, CommandKind::Renew, task, {}, lease, {}}, {}});
    for (const auto kind : {CommandKind::Checkpoint, CommandKind::Throttle, CommandKind::Unthrottle, CommandKind::Stop, CommandKind::Forget}) {
        message.m_commands.push_back({{worker, kind, task, {}, {}, {}}, {}});
    }
    cr_assert(platform::decodeCommands(platform::encodeCommands(message), worker) == message);
}

Test(worker_codec, reportAndFencedReply_areDecoded)
{
    using platform::CommandOutcome;
    std::vector<scheduler::TaskStatus> tasks;
    for (int phase = 0; phase <= static_cast<int>(TaskPhase::LeaseExpired); ++phase) {
        tasks.push_back({{fleet::JobId("j"), 1, phase}, static_cast<TaskPhase>(phase), fleet::Duration(10), fleet::Duration(20)});
    }
    const auto reported = platform::toCommandResult(answered(200, platform::encodeTaskReport({42}, tasks)));
    cr_assert(reported.m_outcome == CommandOutcome::Reported);
    cr_assert(reported.m_tasks == tasks);
    const auto fenced = platform::toCommandResult(answered(409, platform::encodeFenced({57})));
    cr_assert(fenced.m_outcome == CommandOutcome::Fenced);
    cr_assert_eq(fenced.m_fence.m_value, 57U);
    cr_assert(platform::toCommandResult(answered(200, "{}")).m_outcome == CommandOutcome::Unknown);
    cr_assert(platform::toCommandResult(unanswered(http::ResultKind::NotSent)).m_outcome == CommandOutcome::NotSent);
}

Test(runner_codec, request_decodesToItself)
{
    cr_assert(platform::decodeRunRequest(platform::encodeRunRequest(sampleRequest())) == sampleRequest());
}

Test(runner_codec, runResponses_areDistinguished)
{
    using platform::RunOutcome;
    const auto request = sampleRequest();
    const auto done = platform::toRunResult(answered(200, platform::encodeRunDone(request, "whole")), request);
    cr_assert(done.m_outcome == RunOutcome::Done);
    cr_assert_eq(done.m_body, "whole");
    cr_assert(platform::toRunResult(answered(503, platform::encodeDidNotRun(request)), request).m_outcome == RunOutcome::DidNotRun);
    cr_assert(platform::toRunResult(answered(500, "{}"), request).m_outcome == RunOutcome::Unknown);
    cr_assert(platform::toRunResult(unanswered(http::ResultKind::NotSent), request).m_outcome == RunOutcome::DidNotRun);
    cr_assert(platform::toRunResult(unanswered(http::ResultKind::Unknown), request).m_outcome == RunOutcome::Unknown);
}

Test(runner_codec, answersOfAnotherRequestOrAttempt_giveUnknown)
{
    using platform::RunOutcome;
    const auto request = sampleRequest();
    auto other = request;
    other.m_request = fleet::RequestId("r-2");
    auto earlier = request;
    earlier.m_attempt = 1;
    cr_assert(platform::toRunResult(answered(200, platform::encodeRunDone(other, "x")), request).m_outcome == RunOutcome::Unknown);
    cr_assert(platform::toRunResult(answered(503, platform::encodeDidNotRun(earlier)), request).m_outcome == RunOutcome::Unknown);
}

Test(codecs, anyText_isDecodedOrRejectedWithDecodeError)
{
    cr_assert(rc::check([](const std::string &text) {
        const auto runDecoder = [](const auto &decode) {
            throwsDecodeError(decode);
        };
        runDecoder([&] {
            platform::decodeLogPage(text);
        });
        runDecoder([&] {
            platform::decodeList(text);
        });
        runDecoder([&] {
            platform::decodeCommands(text, {});
        });
        runDecoder([&] {
            platform::decodeRunRequest(text);
        });
    }));
}
