#include "components/node/instance_metrics.hpp"

#include "components/metrics/registry.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <variant>

namespace node
{

namespace
{

const char *nameOf(store::AppendOutcome outcome)
{
    switch (outcome) {
    case store::AppendOutcome::Stored:
        return "stored";
    case store::AppendOutcome::Fenced:
        return "fenced";
    case store::AppendOutcome::OutOfSequence:
        return "out-of-sequence";
    case store::AppendOutcome::EndMoved:
        return "end-moved";
    case store::AppendOutcome::Refused:
        return "refused";
    case store::AppendOutcome::Unknown:
        return "no-answer";
    }
    return "";
}

const char *nameOf(store::ReadOutcome outcome)
{
    switch (outcome) {
    case store::ReadOutcome::Read:
        return "read";
    case store::ReadOutcome::Expired:
        return "expired";
    case store::ReadOutcome::Refused:
        return "refused";
    case store::ReadOutcome::NoAnswer:
        return "no-answer";
    }
    return "";
}

const char *nameOf(workers::OrderOutcome outcome)
{
    switch (outcome) {
    case workers::OrderOutcome::Done:
        return "done";
    case workers::OrderOutcome::Fenced:
        return "fenced";
    case workers::OrderOutcome::RunIsOver:
        return "over";
    case workers::OrderOutcome::LeaseExpired:
        return "lapsed";
    case workers::OrderOutcome::NoCapacity:
        return "no-room";
    case workers::OrderOutcome::BadTicket:
        return "bad-ticket";
    case workers::OrderOutcome::Unhealthy:
        return "unhealthy";
    case workers::OrderOutcome::OtherIncarnation:
        return "other-life";
    case workers::OrderOutcome::Malformed:
        return "malformed";
    case workers::OrderOutcome::NotSent:
        return "not-sent";
    case workers::OrderOutcome::Unknown:
        return "no-answer";
    }
    return "";
}

const char *nameOf(workers::PollOutcome outcome)
{
    switch (outcome) {
    case workers::PollOutcome::Answered:
        return "answered";
    case workers::PollOutcome::Fenced:
        return "fenced";
    case workers::PollOutcome::OtherIncarnation:
        return "other-life";
    case workers::PollOutcome::Unhealthy:
        return "unhealthy";
    case workers::PollOutcome::NoAnswer:
        return "no-answer";
    }
    return "";
}

/// Number of accounts with metrics of their own; the others are summed up in one entry, since the registry keeps every entry.
constexpr std::size_t maxPublishedAccounts = 64;

void add(dispatch::AccountStats &sum, const dispatch::AccountStats &stats)
{
    sum.m_running = sum.m_running + stats.m_running;
    sum.m_maximum = sum.m_maximum + stats.m_maximum;
    sum.m_sharePermille += stats.m_sharePermille;
    sum.m_waitingSteps += stats.m_waitingSteps;
}

/// Writes the name of an account as the value of a label. Names come from the operators and may hold any character.
std::string labelValueOf(const fleet::AccountId &account)
{
    std::string text;
    for (const char c : account.value()) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

std::string label(const char *name, const char *value)
{
    return std::string(name) + "=\"" + value + '"';
}

}

InstanceMetrics::InstanceMetrics(metrics::Registry &registry)
    : m_registry(registry)
{
}

void InstanceMetrics::count(const Event &event, fleet::Now now)
{
    if (const auto *append = std::get_if<AppendEnded>(&event)) {
        countCall("append", nameOf(append->m_result.m_outcome), now.m_boot - append->m_sentAt);
    } else if (const auto *journal = std::get_if<JournalRead>(&event)) {
        countCall("read-journal", nameOf(journal->m_result.m_outcome), now.m_boot - journal->m_sentAt);
    } else if (const auto *keyed = std::get_if<KeyedReadEnded>(&event)) {
        countCall("read-snapshot", nameOf(keyed->m_outcome), now.m_boot - keyed->m_sentAt);
    } else if (const auto *operators = std::get_if<OperatorsReadEnded>(&event)) {
        countCall("read-catalog", nameOf(operators->m_read.m_outcome), now.m_boot - operators->m_sentAt);
    } else if (const auto *list = std::get_if<WorkerListReadEnded>(&event)) {
        countCall("read-list", nameOf(list->m_read.m_outcome), now.m_boot - list->m_sentAt);
        countRefusedEntries(list->m_read);
    } else if (const auto *start = std::get_if<StartEnded>(&event)) {
        countOrder("start", nameOf(start->m_result.m_outcome));
    } else if (const auto *stop = std::get_if<StopEnded>(&event)) {
        countOrder("stop", nameOf(stop->m_result.m_outcome));
    } else if (const auto *poll = std::get_if<PollEnded>(&event)) {
        countOrder("look", nameOf(poll->m_result.m_outcome));
    } else if (const auto *advice = std::get_if<AdviceEnded>(&event)) {
        countOrder("advice", advice->m_answer.m_isAnswered ? "answered" : "no-answer");
    }
}

void InstanceMetrics::countAnswer(const char *call, const char *outcome, fleet::Duration took)
{
    m_registry.counter("foxtailcross_answers_total", "Answers to callers, by call and outcome.", label("call", call) + ',' + label("outcome", outcome)).add();
    m_registry.histogram("foxtailcross_answer_ms", "Time from a caller's call to its answer in milliseconds.", label("call", call)).add(took);
}

void InstanceMetrics::countUnexpectedError(const char *where)
{
    m_registry.counter("foxtailcross_unexpected_errors_total", "Errors that nobody expected, by where they were contained.", label("where", where)).add();
}

void InstanceMetrics::countCall(const char *call, const char *outcome, fleet::Duration took)
{
    m_registry.counter("foxtailcross_store_calls_total", "Calls of the store, by call and outcome.", label("call", call) + ',' + label("outcome", outcome))
        .add();
    m_registry.histogram("foxtailcross_store_call_ms", "Time until the store answered, waits included, in milliseconds.", label("call", call)).add(took);
}

void InstanceMetrics::countRefusedEntries(const workers::WorkerListRead &read)
{
    const auto refused = std::count_if(read.m_changes.begin(), read.m_changes.end(), [](const workers::WorkerListChange &change) {
        return !change.m_refusal.empty();
    });
    m_registry.counter("foxtailcross_worker_entries_refused_total", "Holder: entries read in the worker list that name no usable worker.")
        .add(static_cast<std::uint64_t>(refused));
}

void InstanceMetrics::countOrder(const char *order, const char *outcome)
{
    m_registry.counter("foxtailcross_worker_calls_total", "Orders and looks at workers, by outcome.", label("call", order) + ',' + label("outcome", outcome))
        .add();
}

void InstanceMetrics::publish(const InstanceStats &stats)
{
    const auto set = [this](const char *name, const char *help, auto value) {
        m_registry.gauge(name, help).set(static_cast<std::int64_t>(value));
    };
    if (stats.m_holderToken != m_lastStats.m_holderToken) {
        m_registry.counter("foxtailcross_duty_changes_total", "Changes of the holder of the scheduling duty that this instance saw.").add();
    }
    set("foxtailcross_ready", "1 while the instance asks for new connections.", stats.m_isReady);
    set("foxtailcross_duty_held", "1 while the instance holds the scheduling duty.", stats.m_holdsDuty);
    set("foxtailcross_duty_token", "Fencing token of the holder that the instance knows.", stats.m_holderToken);
    set("foxtailcross_catalog_version", "Version of the operators' catalog in force.", stats.m_catalogVersion);
    set("foxtailcross_zones_out", "Availability zones that the operators have taken out.", stats.m_zonesOut);
    set("foxtailcross_catalog_age_ms", "Age of the last confirmation of the catalog; -1 before the first.", stats.m_catalogAge);
    set("foxtailcross_journal_age_ms", "Age of what was read of the journal; -1 before the first read.", stats.m_journalAge);
    set("foxtailcross_journal_end", "Offset of the next record of the journal.", stats.m_journalEnd);
    set("foxtailcross_journal_unreadable", "Records of the journal that could not be read.", stats.m_unreadableRecords);
    set("foxtailcross_jobs_known", "Jobs in the ledger, ended ones within their retention included.", stats.m_jobs);
    set("foxtailcross_calls_open", "Callers' calls that wait for the store.", stats.m_openCalls);
    set("foxtailcross_connections_open", "Callers' connections.", stats.m_callerConnections.m_open);
    set("foxtailcross_requests_unanswered", "Callers' requests whose answers have not been written yet.", stats.m_callerConnections.m_unanswered);
    set("foxtailcross_jobs_active", "Holder: jobs that are not over.", stats.m_activeJobs);
    set("foxtailcross_runs_open", "Holder: runs that are not over.", stats.m_openRuns);
    set("foxtailcross_starts_awaited", "Holder: launched runs whose first start order is not answered yet.", stats.m_awaitedStarts);
    set("foxtailcross_workers_known", "Holder: workers in its list or with open runs.", stats.m_workers);
    set("foxtailcross_workers_silent", "Holder: workers that left the last call without an answer.", stats.m_silentWorkers);
    set("foxtailcross_batches_unstored", "Holder: batches of records that the store has not confirmed.", stats.m_unstoredBatches);
    set("foxtailcross_steps_waiting", "Holder: steps with tasks that the last plan could not place.", stats.m_waitingSteps);
    set("foxtailcross_steps_waiting_would_fit",
        "Holder: of these, steps for which the free capacity was enough in their last report.",
        stats.m_waitingStepsThatWouldFit);
    if (stats.m_accounts != m_lastStats.m_accounts) {
        publishAccounts(stats.m_accounts);
    }
    set("foxtailcross_run_times_runs", "Holder: done runs whose expected run time was compared with the actual one.", stats.m_calibration.m_runs);
    set("foxtailcross_run_times_estimate_error_pct",
        "Holder: mean error of the callers' estimates, absolute natural logarithm in percent.",
        stats.m_calibration.meanEstimateError());
    set("foxtailcross_run_times_model_error_pct",
        "Holder: mean error of the learned run times, absolute natural logarithm in percent.",
        stats.m_calibration.meanModelError());
    set("foxtailcross_run_times_coverage_pct", "Holder: runs that took at most the expected high time, in percent.", stats.m_calibration.coverage());
    set("foxtailcross_run_times_workers", "Holder: workers whose speed was learned.", stats.m_runTimeWorkers);
    set("foxtailcross_run_times_classes", "Holder: classes of tasks whose run time was learned.", stats.m_runTimeClasses);
    set("foxtailcross_unanswered_starts", "Holder: start orders without an answer that may still be carried out.", stats.m_unansweredStarts);
    if (stats.m_runCounts != m_lastStats.m_runCounts || !m_hasPublishedRunCounts) {
        publishRunCounts(stats.m_runCounts);
        m_hasPublishedRunCounts = true;
    }
    if (stats.m_workCounts != m_lastStats.m_workCounts) {
        publishWorkCounts(stats.m_workCounts);
    }
    m_lastStats = stats;
}

void InstanceMetrics::publishWorkCounts(const dispatch::WorkCounts &counts)
{
    const dispatch::WorkCounts &last = m_lastStats.m_workCounts;
    const auto addIncrease = [this](const char *name, const char *help, std::uint64_t count, std::uint64_t before) {
        m_registry.counter(name, help).add(count - before);
    };
    addIncrease("foxtailcross_plans_total", "Holder: plans made.", counts.m_plans, last.m_plans);
    addIncrease("foxtailcross_plan_candidates_total", "Holder: steps examined for placement, over all plans.", counts.m_candidates, last.m_candidates);
    addIncrease("foxtailcross_plan_tasks_total", "Holder: tasks listed for placement, over all plans.", counts.m_listedTasks, last.m_listedTasks);
    addIncrease("foxtailcross_reconciled_runs_total",
                "Holder: open runs read to find those that are no longer needed.",
                counts.m_reconciledRuns,
                last.m_reconciledRuns);
    addIncrease("foxtailcross_examined_runs_total", "Holder: open runs read to find due orders and overdue ones.", counts.m_examinedRuns, last.m_examinedRuns);
}

void InstanceMetrics::publishRunCounts(const dispatch::RunCounts &counts)
{
    const dispatch::RunCounts &last = m_lastStats.m_runCounts;
    const auto addIncrease = [this](const char *name, const char *help, const std::string &labels, std::uint64_t count, std::uint64_t before) {
        m_registry.counter(name, help, labels).add(count - before);
    };
    addIncrease(
        "foxtailcross_worker_restarts_total", "Holder: workers seen to have restarted under the same id.", {}, counts.m_workerRestarts, last.m_workerRestarts);
    addIncrease(
        "foxtailcross_stray_runs_total", "Holder: runs that a worker reported although they were not open there.", {}, counts.m_strayRuns, last.m_strayRuns);
    addIncrease(
        "foxtailcross_two_runs_total", "Holder: stray runs beside another run of their task that was ordered to start.", {}, counts.m_twoRuns, last.m_twoRuns);
    const auto countOf = [](const dispatch::RunCounts &of, dispatch::RunEndProof proof) {
        const auto found = of.m_givenUp.find(proof);
        return found == of.m_givenUp.end() ? 0 : found->second;
    };
    for (const dispatch::RunEndProof proof : dispatch::allRunEndProofs) {
        if (proof != dispatch::RunEndProof::ReportedByWorker) {
            addIncrease("foxtailcross_runs_given_up_total",
                        "Holder: runs that ended without a report of their worker, by what showed that they are over.",
                        label("proof", dispatch::nameOf(proof)),
                        countOf(counts, proof),
                        countOf(last, proof));
        }
    }
}

void InstanceMetrics::publishAccounts(const std::vector<dispatch::AccountStats> &accounts)
{
    // Accounts without new figures are set to 0: they have left the catalog, or the instance no longer holds the duty.
    std::map<fleet::AccountId, dispatch::AccountStats> entries;
    for (const fleet::AccountId &account : m_publishedAccounts) {
        entries[account] = {};
    }
    const fleet::AccountId others;
    for (const dispatch::AccountStats &account : accounts) {
        if (m_publishedAccounts.size() < maxPublishedAccounts) {
            m_publishedAccounts.insert(account.m_account);
        }
        const bool hasOwn = m_publishedAccounts.contains(account.m_account);
        add(entries[hasOwn ? account.m_account : others], account);
    }
    m_hasOtherAccounts = m_hasOtherAccounts || entries.contains(others);
    if (m_hasOtherAccounts) {
        entries.try_emplace(others);
    }
    for (const auto &[account, stats] : entries) {
        const std::string name = "account=\"" + (account == others ? "(others)" : labelValueOf(account)) + '"';
        const auto setEach = [&](const char *metric, const char *help, const fleet::Resources &amount) {
            m_registry.gauge(metric, help, name + ',' + label("resource", "cpu")).set(amount.m_milliCores);
            m_registry.gauge(metric, help, name + ',' + label("resource", "mem_mb")).set(amount.m_memoryMb);
            m_registry.gauge(metric, help, name + ',' + label("resource", "gpu")).set(amount.m_accelerators);
        };
        setEach("foxtailcross_account_running", "Holder: resources that the open runs of the account ask for.", stats.m_running);
        setEach("foxtailcross_account_maximum", "Holder: maximum of the account; 0 for no limit.", stats.m_maximum);
        m_registry.gauge("foxtailcross_account_share_permille", "Holder: share of the account by its weight, while it has work.", name)
            .set(stats.m_sharePermille);
        m_registry.gauge("foxtailcross_account_steps_waiting", "Holder: steps of the account that the last plan could not place.", name)
            .set(static_cast<std::int64_t>(stats.m_waitingSteps));
    }
}

}
