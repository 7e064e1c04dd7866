#include "components/callers/submission.hpp"
#include "components/callers/submission_limits.hpp"

#include <limits>

#include <criterion/criterion.h>

namespace
{

callers::Submission ordinary()
{
    callers::Submission submission;
    submission.m_steps.resize(2);
    submission.m_steps[0].m_tasks = 16;
    submission.m_steps[0].m_perTask = {32'000, 256'000, 8};
    submission.m_steps[1].m_tasks = 300;
    return submission;
}

}

Test(submissionLimits, ordinaryJob_isAccepted)
{
    cr_assert(callers::findExcess(ordinary()).empty());
    callers::Submission hourly = ordinary();
    hourly.m_schedule.m_occurrences = 24 * 100;
    hourly.m_schedule.m_interval = std::chrono::hours(1);
    cr_assert(callers::findExcess(hourly).empty());
}

/// All occurrences are due at once, and the scheduler walked through each of them in every plan.
Test(submissionLimits, billionsOfOccurrences_areRefused)
{
    callers::Submission submission = ordinary();
    submission.m_schedule.m_occurrences = std::numeric_limits<std::uint32_t>::max();
    cr_assert_not(callers::findExcess(submission).empty());
}

Test(submissionLimits, amountsWhoseSumOverflows_areRefused)
{
    callers::Submission submission = ordinary();
    submission.m_steps[0].m_perTask.m_accelerators = std::numeric_limits<std::int64_t>::max();
    cr_assert_not(callers::findExcess(submission).empty());
}

Test(submissionLimits, timesWhoseSumOverflows_areRefused)
{
    callers::Submission submission = ordinary();
    submission.m_steps[0].m_estimate = fleet::Duration::max();
    cr_assert_not(callers::findExcess(submission).empty());
    submission = ordinary();
    submission.m_schedule.m_occurrences = 2;
    submission.m_schedule.m_firstDue = fleet::TimePoint::max();
    cr_assert_not(callers::findExcess(submission).empty());
}
