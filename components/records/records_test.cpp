#include "components/records/batcher.hpp"
#include "components/records/snapshot_schedule.hpp"
#include "components/records/stream_reader.hpp"

#include <set>

#include <rapidcheck.h>

#include <criterion/criterion.h>

using namespace records;

namespace
{

const fleet::TimePoint start = fleet::fromMilliseconds(1'796'367'600'000);
const fleet::ZoneId kochi {"kochi"};
const fleet::JobId job {"j1"};

Batcher makeBatcher(int number)
{
    Batcher batcher;
    batcher.m_writer = {fleet::InstanceId("i" + std::to_string(number)), {static_cast<std::uint64_t>(number)}};
    return batcher;
}

JobSubmitted submission(const fleet::JobId &id)
{
    fleet::JobSpec spec;
    spec.m_id = id;
    spec.m_account = fleet::AccountId("studio");
    spec.m_submittedAt = start;
    return {spec, kochi};
}

/// A log whose entries are all applied by one reader.
struct Fixture
{
    std::vector<std::string> m_log {encodeEntry(Batch {})};
    StreamReader m_reader;
    Batcher m_first = makeBatcher(1);
    Batcher m_second = makeBatcher(2);

    Fixture()
    {
        applyEntry(m_reader, 0, start, m_log.front());
    }

    std::vector<RecordResult> append(Batcher &batcher, Body body, std::uint64_t token = 0)
    {
        add(batcher, kochi, {token}, std::move(body), start);
        batcher.m_sentAt = {};
        const Append append = nextAppend(batcher, start).value();
        m_log.push_back(append.m_bytes);
        onAppendSucceeded(batcher, append.m_upTo);
        return applyEntry(m_reader, m_log.size() - 1, start, m_log.back());
    }
};

}

Test(logState, twoClaimsOfTheSameToken_applyEntry_acceptsTheLowerOffset)
{
    Fixture f;
    cr_assert(f.append(f.m_first, SchedulerClaimed {}).front().m_accepted);
    cr_assert_not(f.append(f.m_second, SchedulerClaimed {}).front().m_accepted);
    cr_assert(f.m_reader.m_state.findHolder(kochi)->m_writer == f.m_first.m_writer);
    cr_assert_eq(f.m_reader.m_state.findHolder(kochi)->m_token.m_value, 1U);
}

Test(logState, attemptOfAnEarlierHolder_applyEntry_isRejected)
{
    Fixture f;
    f.append(f.m_first, SchedulerClaimed {});
    f.append(f.m_first, submission(job));
    f.append(f.m_second, SchedulerClaimed {{1}});
    cr_assert_not(f.append(f.m_first, AttemptStarted {job, 1, {}}, 1).front().m_accepted);
    cr_assert(f.append(f.m_second, AttemptStarted {job, 1, {}}, 3).front().m_accepted);
    cr_assert(f.m_reader.m_state.findJob(job)->m_phase == JobPhase::Running);
    cr_assert(f.append(f.m_second, JobEnded {job, 1}, 3).front().m_accepted);
    cr_assert_eq(f.m_reader.m_state.m_totals.front().m_jobsDone, 1);
}

Test(logState, secondAttemptBeforeTheFirstEnded_applyEntry_isRejected)
{
    Fixture f;
    f.append(f.m_first, SchedulerClaimed {});
    f.append(f.m_first, submission(job));
    f.append(f.m_first, AttemptStarted {job, 1, {}}, 1);
    cr_assert_not(f.append(f.m_first, AttemptStarted {job, 2, {}}, 1).front().m_accepted);
    f.append(f.m_first, AttemptEnded {job, 1, fleet::Duration(500), "lapsed"}, 1);
    cr_assert(f.append(f.m_first, AttemptStarted {job, 2, {}}, 1).front().m_accepted);
    cr_assert_eq(f.m_reader.m_state.findJob(job)->m_checkpointed.count(), 500);
}

Test(batcher, anyLossesAndDelays_everyRecord_isAppliedOnceInOrder)
{
    const bool holds = rc::check([] {
        Batcher batcher = makeBatcher(1);
        StreamReader reader;
        std::vector<std::string> delayed;
        std::uint64_t offset = 0;
        std::vector<RecordId> applied;
        const auto append = [&](const std::string &bytes) {
            for (const RecordResult &result : applyEntry(reader, offset++, start, bytes)) {
                if (result.m_accepted) {
                    applied.push_back(result.m_id);
                }
            }
        };
        fleet::TimePoint now = start;
        for (int i = 0; i < 60 || !batcher.m_pending.empty(); ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(50, 3000));
            if (i < 40) {
                add(batcher, kochi, {}, RequestsCounted {fleet::AccountId("studio"), 1, 0, 0}, now);
            }
            const auto next = nextAppend(batcher, now);
            const int outcome = i < 60 ? *rc::gen::inRange(0, 5) : 0;
            if (next && outcome <= 1) {
                append(next->m_bytes);
                onAppendSucceeded(batcher, next->m_upTo);
            } else if (next && outcome == 2) {
                append(next->m_bytes);
            } else if (next && outcome == 3) {
                delayed.push_back(next->m_bytes);
            } else if (next) {
                onAppendFailed(batcher, now);
            }
            if (!delayed.empty() && *rc::gen::inRange(0, 3) == 0) {
                append(delayed.back());
                delayed.pop_back();
            }
        }
        RC_ASSERT(applied.size() == 40U);
        for (std::size_t i = 0; i < applied.size(); ++i) {
            RC_ASSERT(applied[i].m_counter == i + 1);
        }
        RC_ASSERT(reader.m_state.m_totals.front().m_requestsDone == 40);
    });
    cr_assert(holds);
}

Test(batcher, steadyRecordsFromNineInstances_staysUnderFiftyAppendsASecond)
{
    int appends = 0;
    for (int instance = 0; instance < 9; ++instance) {
        Batcher batcher = makeBatcher(instance);
        for (int ms = 0; ms < 10'000; ms += 5) {
            const fleet::TimePoint now = start + std::chrono::milliseconds(ms);
            add(batcher, kochi, {}, RequestsCounted {}, now);
            if (const auto next = nextAppend(batcher, now)) {
                ++appends;
                onAppendSucceeded(batcher, next->m_upTo);
            }
        }
    }
    cr_assert_lt(appends, 500);
}

Test(streamReader, anyStartWithASnapshotAhead_givesTheSameState)
{
    const bool holds = rc::check([] {
        Fixture f;
        const int count = *rc::gen::inRange(5, 40);
        for (int i = 0; i < count; ++i) {
            Batcher &writer = *rc::gen::arbitrary<bool>() ? f.m_first : f.m_second;
            const fleet::JobId id(std::to_string(*rc::gen::inRange(0, 6)));
            const Holder *holder = f.m_reader.m_state.findHolder(kochi);
            const std::uint64_t token = holder ? holder->m_token.m_value : 0;
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                f.append(writer, SchedulerClaimed {{token}});
                break;
            case 1:
                f.append(writer, submission(id));
                break;
            case 2:
                f.append(writer, AttemptStarted {id, *rc::gen::inRange(1, 4), {}}, token);
                break;
            case 3:
                f.append(writer, JobEnded {id, 1}, token);
                break;
            case 4:
                f.m_log.push_back(encodeEntry(makeSnapshot(f.m_reader)));
                applyEntry(f.m_reader, f.m_log.size() - 1, start, f.m_log.back());
                break;
            default:
                f.m_log.push_back("damaged");
                applyEntry(f.m_reader, f.m_log.size() - 1, start, f.m_log.back());
            }
        }
        StreamReader late;
        const int from = *rc::gen::inRange<int>(0, static_cast<int>(f.m_log.size()));
        for (auto offset = static_cast<std::size_t>(from); offset < f.m_log.size(); ++offset) {
            applyEntry(late, offset, start, f.m_log[offset]);
        }
        RC_PRE(late.m_complete);
        RC_ASSERT(late.m_state == f.m_reader.m_state);
    });
    cr_assert(holds);
}

Test(snapshotSchedule, dueByAge_exactlyOneInstanceIsDueAtOnce)
{
    const SnapshotView view {100, 50, start, start};
    const fleet::TimePoint due = start + SnapshotSettings().m_maxAge;
    int writers = 0;
    for (std::uint64_t rank = 0; rank < 9; ++rank) {
        writers += isSnapshotDue({}, view, rank, 9, due) ? 1 : 0;
        cr_assert_not(isSnapshotDue({}, view, rank, 9, due - std::chrono::seconds(1)));
        cr_assert(isSnapshotDue({}, view, rank, 9, due + std::chrono::minutes(2)));
    }
    cr_assert_eq(writers, 1);
}
