#include "components/instances/message_queue.hpp"
#include "components/requests/state.hpp"
#include "components/requests/step.hpp"

#include <algorithm>
#include <set>
#include <vector>

#include <criterion/criterion.h>

using namespace instances;

namespace
{

constexpr int runnerCount = 50;
constexpr int slots = 8;
constexpr int requestCount = 20'000;
const fleet::AccountId studio {"studio"};

/// Simulates one instance that sends preview requests to runners in virtual time. Some of the attempts stall.
struct PreviewRun
{
    MessageQueue m_queue {7};
    requests::State m_state;
    std::vector<std::int64_t> m_latencies;
    std::vector<fleet::TimePoint> m_sentAt;
    int m_attempts = 0;
    int m_unanswered = 0;

    PreviewRun(fleet::Duration hedgeAfter, double loadPart)
    {
        requests::Settings settings;
        settings.m_hedgeAfter = hedgeAfter;
        m_state = requests::makeState(settings, fleet::InstanceId("i1"), {1}, fleet::ZoneId("kochi"));
        apply(requests::AccountsChanged {{{studio, 1.0, 0.0}}});
        for (int runner = 0; runner < runnerCount; ++runner) {
            apply(requests::RunnerListed {fleet::RunnerId("r" + std::to_string(runner)), fleet::ZoneId("kochi"), slots, 60, false});
        }
        // The mean service time is 260 ms: 200 ms, plus 60 ms for the 2% of attempts that stall for 3 s.
        const double gapUs = 260'000.0 / (runnerCount * slots * loadPart);
        const fleet::TimePoint start = m_queue.now();
        for (int i = 0; i < requestCount; ++i) {
            m_sentAt.push_back(start + fleet::Duration(static_cast<std::int64_t>(i * gapUs / 1000.0)));
            m_queue.at(m_sentAt.back(), [this, i] {
                submit(i);
            });
        }
        for (fleet::TimePoint tick = start; tick < m_sentAt.back() + std::chrono::seconds(30); tick += std::chrono::milliseconds(50)) {
            m_queue.at(tick, [this] {
                apply(requests::Tick {});
            });
        }
        m_queue.runUntil(m_sentAt.back() + std::chrono::seconds(30));
        std::sort(m_latencies.begin(), m_latencies.end());
    }

    void submit(int index)
    {
        const requests::RequestIdParts idParts = requests::issueId(m_state);
        requests::Request request;
        request.m_id = fleet::RequestId(std::to_string(index));
        request.m_account = studio;
        request.m_idempotent = true;
        request.m_deadline = m_queue.now() + std::chrono::seconds(20);
        apply(requests::Submitted {request, idParts, 1, {static_cast<std::uint64_t>(index)}});
    }

    void apply(const requests::Event &event)
    {
        for (const requests::Action &action : requests::step(m_state, event, m_queue.now())) {
            if (const auto *sent = std::get_if<requests::Dispatch>(&action)) {
                ++m_attempts;
                const int stallMs = m_queue.random().percentChance(2) ? 3000 : 0;
                m_queue.at(m_queue.now() + fleet::Duration(100 + m_queue.random().below(200) + stallMs), [this, sent = *sent] {
                    apply(requests::RunnerAnswered {sent.m_request, sent.m_attempt, sent.m_runner, true, "preview"});
                });
            } else if (const auto *reply = std::get_if<requests::Reply>(&action)) {
                m_unanswered += reply->m_answer.m_kind == requests::AnswerKind::Done ? 0 : 1;
                m_latencies.push_back((m_queue.now() - m_sentAt[reply->m_waiter.m_value]).count());
            }
        }
    }

    std::int64_t percentile(int percent) const
    {
        return m_latencies[m_latencies.size() * static_cast<std::size_t>(percent) / 100];
    }
};

}

Test(hedging, twoPercentStalls_hedgedPreviews_haveAShorterTailForFewMoreAttempts)
{
    for (const double load : {0.5, 0.8, 0.95}) {
        std::vector<std::int64_t> tails;
        for (const int hedgeMs : {0, 400, 600, 1000}) {
            const PreviewRun run(fleet::Duration(hedgeMs), load);
            tails.push_back(run.percentile(99));
            cr_log_info("load %.2f, hedge after %d ms: p50 %ld ms, p99 %ld ms, %.3f attempts a request, %d without answer",
                        load,
                        hedgeMs,
                        static_cast<long>(run.percentile(50)),
                        static_cast<long>(run.percentile(99)),
                        static_cast<double>(run.m_attempts) / requestCount,
                        run.m_unanswered);
            cr_assert_leq(run.m_attempts, requestCount * 11 / 10 + 20);
        }
        cr_assert_lt(tails[2], tails[0]);
    }
}
