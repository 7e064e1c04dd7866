#include "components/instances/duty_site.hpp"

#include "components/membership/view.hpp"

#include <algorithm>

namespace instances
{

namespace
{

constexpr int instanceCount = 3;
constexpr int workerCount = 3;
constexpr fleet::Duration tickInterval {500};
constexpr fleet::Duration renewInterval = std::chrono::seconds(3);
const fleet::ZoneId kochi {"kochi"};
const Faults betweenProcesses {5, 0, 10, std::chrono::seconds(6)};

int number(const std::string &name)
{
    return std::stoi(name.substr(1));
}

}

DutySite::DutySite(std::uint64_t seed)
    : m_queue(seed)
    , m_workers(workerCount)
    , m_log {records::encodeEntry(records::Batch {})}
    , m_isConnected(instanceCount, std::vector<bool>(instanceCount, true))
{
    membership::ListRead list {m_queue.now(), {}};
    duty::WorkersListed workers;
    for (int worker = 0; worker < workerCount; ++worker) {
        workers.m_workers.emplace_back("w" + std::to_string(worker));
    }
    for (int instance = 0; instance < instanceCount; ++instance) {
        const fleet::InstanceId id("i" + std::to_string(instance));
        const records::WriterId writer {id, {static_cast<std::uint64_t>(instance + 1)}};
        DutyInstance state;
        state.m_membership = membership::makeState({}, id, writer.m_incarnation, kochi, id.value());
        state.m_duty = duty::makeState({}, writer, kochi);
        state.m_batcher.m_writer = writer;
        state.m_workerReachable.assign(workerCount, true);
        m_instances.push_back(state);
        list.m_instances.push_back({id, kochi, id.value(), false});
    }
    for (int instance = 0; instance < instanceCount; ++instance) {
        applyMembership(instance, list);
        applyDuty(instance, workers);
        tick(instance);
    }
}

void DutySite::whenAwake(int instance, const std::function<void()> &action)
{
    m_queue.at(std::max(m_queue.now(), m_instances[static_cast<std::size_t>(instance)].m_pausedUntil), action);
}

void DutySite::applyMembership(int instance, const membership::Event &event)
{
    for (const membership::SendHeartbeat &sent : membership::step(m_instances[static_cast<std::size_t>(instance)].m_membership, event, m_queue.now())) {
        const int to = number(sent.m_address);
        if (!m_isConnected[static_cast<std::size_t>(instance)][static_cast<std::size_t>(to)]) {
            continue;
        }
        m_queue.send(betweenProcesses, [this, to, heartbeat = sent.m_heartbeat] {
            whenAwake(to, [this, to, heartbeat] {
                applyMembership(to, membership::HeartbeatReceived {heartbeat});
            });
        });
    }
}

void DutySite::applyDuty(int instance, const duty::Event &event)
{
    DutyInstance &state = m_instances[static_cast<std::size_t>(instance)];
    for (const duty::Action &action : duty::step(state.m_duty, event, m_queue.now())) {
        if (const auto *claim = std::get_if<duty::Claim>(&action)) {
            records::add(state.m_batcher, kochi, {}, records::SchedulerClaimed {claim->m_replaces}, m_queue.now());
        } else if (const auto *begin = std::get_if<duty::StartScheduling>(&action)) {
            state.m_token = begin->m_token.m_value;
            state.m_worker.reset();
            state.m_started = false;
            ++m_claims;
        } else if (const auto *raise = std::get_if<duty::RaiseToken>(&action)) {
            command(instance, number(raise->m_worker.value()), "raise");
        } else if (std::holds_alternative<duty::StopScheduling>(action)) {
            state.m_token = 0;
        }
    }
}

void DutySite::exchangeLog(int instance)
{
    DutyInstance &state = m_instances[static_cast<std::size_t>(instance)];
    if (!state.m_logReachable) {
        return;
    }
    if (const auto append = records::nextAppend(state.m_batcher, m_queue.now())) {
        m_log.push_back(append->m_bytes);
        if (!m_queue.random().percentChance(20)) {
            records::onAppendSucceeded(state.m_batcher, append->m_upTo);
        }
    }
    const fleet::TimePoint requestSentAt = m_queue.now();
    const std::size_t end = m_log.size();
    m_queue.send(betweenProcesses, [this, instance, requestSentAt, end] {
        whenAwake(instance, [this, instance, requestSentAt, end] {
            DutyInstance &reader = m_instances[static_cast<std::size_t>(instance)];
            for (std::size_t offset = reader.m_records.m_next; offset < end; ++offset) {
                records::applyEntry(reader.m_records, offset, requestSentAt, m_log[offset]);
            }
            const records::Holder *holder = reader.m_records.m_state.findHolder(kochi);
            applyDuty(instance, duty::HolderRead {holder ? *holder : records::Holder {kochi}, requestSentAt});
            applyMembership(instance, membership::TokenKnown {holder ? holder->m_token : fleet::FencingToken {}});
        });
    });
}

void DutySite::command(int instance, int worker, const std::string &kind)
{
    const DutyInstance &state = m_instances[static_cast<std::size_t>(instance)];
    const std::uint64_t token = state.m_token;
    if (!state.m_workerReachable[static_cast<std::size_t>(worker)]) {
        return;
    }
    // The process may be paused between the decision and the send.
    const fleet::Duration stall(m_queue.random().percentChance(3) ? m_queue.random().below(60'000) : 0);
    m_queue.at(m_queue.now() + stall, [this, instance, worker, kind, token] {
        m_queue.send(betweenProcesses, [this, instance, worker, kind, token] {
            ModelWorker &target = m_workers[static_cast<std::size_t>(worker)];
            const bool isHeld = m_queue.now() < target.m_leaseEnd;
            target.m_running = target.m_running && isHeld;
            if (token >= target.m_token) {
                target.m_token = token;
                const bool takes = kind == "reserve" ? !isHeld : isHeld && kind != "raise" && (kind == "start" || target.m_running);
                if (takes) {
                    target.m_leaseEnd = m_queue.now() + duty::Settings().m_lease;
                    m_starts += kind == "start" && !target.m_running ? 1 : 0;
                    target.m_running = target.m_running || kind == "start";
                }
            }
            checkJobRunsOnce();
            const ModelWorker report = target;
            m_queue.send(betweenProcesses, [this, instance, worker, token, report] {
                whenAwake(instance, [this, instance, worker, token, report] {
                    answer(instance, worker, token, report);
                });
            });
        });
    });
}

void DutySite::answer(int instance, int worker, std::uint64_t token, const ModelWorker &report)
{
    const fleet::WorkerId name("w" + std::to_string(worker));
    if (report.m_token > token) {
        applyDuty(instance, duty::WorkerRefused {name, {report.m_token}});
        return;
    }
    DutyInstance &state = m_instances[static_cast<std::size_t>(instance)];
    if (token != state.m_token || state.m_token == 0) {
        return;
    }
    applyDuty(instance, duty::WorkerAnswered {name, {token}});
    const bool isHeld = m_queue.now() < report.m_leaseEnd;
    if (isHeld && report.m_running && !state.m_worker) {
        state.m_worker = worker;
        state.m_started = true;
        state.m_sentAt = m_queue.now();
    } else if (isHeld && !report.m_running && state.m_worker == worker && !state.m_started && duty::mayStart(state.m_duty, m_queue.now())) {
        state.m_started = true;
        state.m_sentAt = m_queue.now();
        command(instance, worker, "start");
    }
}

void DutySite::schedule(int instance)
{
    DutyInstance &state = m_instances[static_cast<std::size_t>(instance)];
    const fleet::TimePoint now = m_queue.now();
    if (state.m_token == 0) {
        return;
    }
    if (!state.m_worker && duty::mayStart(state.m_duty, now)) {
        state.m_worker = m_queue.random().below(workerCount);
        state.m_started = false;
        state.m_sentAt = now;
        command(instance, *state.m_worker, "reserve");
    } else if (state.m_worker && state.m_started && duty::mayRenew(state.m_duty, now) && state.m_sentAt + renewInterval <= now
               && !m_queue.random().percentChance(5)) {
        state.m_sentAt = now;
        command(instance, *state.m_worker, "renew");
    } else if (state.m_worker && state.m_sentAt + 8 * duty::Settings().m_lease <= now) {
        // Nothing was sent for so long that the lease has expired, even if the last message was delayed.
        state.m_worker.reset();
    }
}

bool DutySite::isRunning(const ModelWorker &worker) const
{
    return worker.m_running && m_queue.now() < worker.m_leaseEnd;
}

void DutySite::checkJobRunsOnce()
{
    const auto running = std::count_if(m_workers.begin(), m_workers.end(), [this](const ModelWorker &worker) {
        return isRunning(worker);
    });
    if (running > 1) {
        m_violation = "the job runs on " + std::to_string(running) + " workers at once";
    }
}

void DutySite::tick(int instance)
{
    DutyInstance &state = m_instances[static_cast<std::size_t>(instance)];
    if (state.m_pausedUntil <= m_queue.now()) {
        exchangeLog(instance);
        applyMembership(instance, membership::Tick {});
        const records::Holder *holder = state.m_records.m_state.findHolder(kochi);
        applyDuty(instance, membership::dutyView(state.m_membership, holder ? *holder : records::Holder {kochi}, m_queue.now()));
        applyDuty(instance, duty::Tick {});
        schedule(instance);
    }
    m_queue.at(m_queue.now() + tickInterval, [this, instance] {
        tick(instance);
    });
}

void DutySite::changeFaults()
{
    const bool logDown = m_queue.random().percentChance(15);
    for (DutyInstance &instance : m_instances) {
        instance.m_logReachable = !logDown && !m_queue.random().percentChance(40);
        for (int worker = 0; worker < workerCount; ++worker) {
            instance.m_workerReachable[static_cast<std::size_t>(worker)] = !m_queue.random().percentChance(40);
        }
        if (m_queue.random().percentChance(20)) {
            instance.m_pausedUntil = m_queue.now() + std::chrono::seconds(1 + m_queue.random().below(60));
        }
    }
    for (auto &row : m_isConnected) {
        for (std::size_t to = 0; to < row.size(); ++to) {
            row[to] = !m_queue.random().percentChance(50);
        }
    }
    m_queue.at(m_queue.now() + std::chrono::seconds(10 + m_queue.random().below(150)), [this] {
        changeFaults();
    });
}

void DutySite::run()
{
    m_queue.at(m_queue.now() + std::chrono::seconds(30), [this] {
        changeFaults();
    });
    m_queue.runUntil(m_queue.now() + std::chrono::minutes(20));
}

}
