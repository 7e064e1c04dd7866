#include "components/instance/answer_counts.hpp"

#include "components/instance/core.hpp"
#include "components/instance/stopping.hpp"

namespace instance
{

namespace
{

constexpr fleet::Duration recordInterval {10'000};

}

void countAnswer(Core &core, const PendingRequest &pending, const requests::Answer &answer)
{
    AnswerCounts &counts = core.m_answerCounts[pending.m_request.m_account];
    switch (answer.m_kind) {
    case requests::AnswerKind::Done:
        ++counts.m_done;
        return;
    case requests::AnswerKind::DidNotRun:
        ++counts.m_refused;
        return;
    case requests::AnswerKind::OutcomeUnknown:
        ++counts.m_unknown;
        return;
    }
}

void recordAnswerCounts(Core &core, fleet::TimePoint now)
{
    const bool isDue = isStopping(core) || now >= core.m_answersRecordedAt + recordInterval;
    if (core.m_answerCounts.empty() || !isDue || !isLogReachable(core)) {
        return;
    }
    core.m_answersRecordedAt = now;
    for (const auto &[account, counts] : core.m_answerCounts) {
        records::add(core.m_batcher, {}, {}, records::RequestsCounted {account, counts.m_done, counts.m_refused, counts.m_unknown}, now);
    }
    core.m_answerCounts.clear();
}

}
