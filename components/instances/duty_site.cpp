#include "components/instances/duty_site.hpp"

#include "components/membership/view.hpp"

#include <algorithm>

namespace instances
{

namespace
{

constexpr int nodeCount = 3;
constexpr int workerCount = 3;
constexpr fleet::Duration tickInterval {500};
constexpr fleet::Duration renewInterval = std::chrono::seconds(3);
const fleet::ZoneId kochi {"kochi"};
const Faults onTheWay {5, 0, 10, std::chrono::seconds(6)};

int number(const std::string &name)
{
    return std::stoi(name.substr(1));
}

}

DutySite::DutySite(std::uint64_t seed)
    : m_queue(seed)
    , m_workers(workerCount)
    , m_log {records::encodeEntry(records::Batch {})}
    , m_linked(nodeCount, std::vector<bool>(nodeCount, true))
{
    membership::ListRead list {m_queue.now(), {}};
    duty::WorkersListed workers;
    for (int worker = 0; worker < workerCount; ++worker) {
        workers.m_workers.emplace_back("w" + std::to_string(worker));
    }
    for (int node = 0; node < nodeCount; ++node) {
        const fleet::InstanceId id("i" + std::to_string(node));
        const records::WriterId writer {id, {static_cast<std::uint64_t>(node + 1)}};
        DutyNode state;
        state.m_membership = membership::makeState({}, id, writer.m_incarnation, kochi, id.value());
        state.m_duty = duty::makeState({}, writer, kochi);
        state.m_batcher.m_writer = writer;
        state.m_workerReachable.assign(workerCount, true);
        m_nodes.push_back(state);
        list.m_instances.push_back({id, kochi, id.value(), false});
    }
    for (int node = 0; node < nodeCount; ++node) {
        gossip(node, list);
        applyDuty(node, workers);
        tick(node);
    }
}

void DutySite::whenAwake(int node, const std::function<void()> &action)
{
    m_queue.at(std::max(m_queue.now(), m_nodes[static_cast<std::size_t>(node)].m_pausedUntil), action);
}

void DutySite::gossip(int node, const membership::Event &event)
{
    for (const membership::SendHeartbeat &sent : membership::step(m_nodes[static_cast<std::size_t>(node)].m_membership, event, m_queue.now())) {
        const int to = number(sent.m_address);
        if (!m_linked[static_cast<std::size_t>(node)][static_cast<std::size_t>(to)]) {
            continue;
        }
        m_queue.send(onTheWay, [this, to, heartbeat = sent.m_heartbeat] {
            whenAwake(to, [this, to, heartbeat] {
                gossip(to, membership::HeartbeatReceived {heartbeat});
            });
        });
    }
}

void DutySite::applyDuty(int node, const duty::Event &event)
{
    DutyNode &state = m_nodes[static_cast<std::size_t>(node)];
    for (const duty::Action &action : duty::step(state.m_duty, event, m_queue.now())) {
        if (const auto *claim = std::get_if<duty::Claim>(&action)) {
            records::add(state.m_batcher, kochi, {}, records::SchedulerClaimed {claim->m_replaces}, m_queue.now());
        } else if (const auto *begin = std::get_if<duty::Begin>(&action)) {
            state.m_token = begin->m_token.m_value;
            state.m_worker.reset();
            state.m_started = false;
            ++m_claims;
        } else if (const auto *raise = std::get_if<duty::RaiseToken>(&action)) {
            command(node, number(raise->m_worker.value()), "raise");
        } else if (std::holds_alternative<duty::End>(action)) {
            state.m_token = 0;
        }
    }
}

void DutySite::exchangeLog(int node)
{
    DutyNode &state = m_nodes[static_cast<std::size_t>(node)];
    if (!state.m_logReachable) {
        return;
    }
    if (const auto append = records::nextAppend(state.m_batcher, m_queue.now())) {
        m_log.push_back(append->m_bytes);
        if (!m_queue.dice().chance(20)) {
            records::onAppendSucceeded(state.m_batcher, append->m_upTo);
        }
    }
    const fleet::TimePoint askedAt = m_queue.now();
    const std::size_t end = m_log.size();
    m_queue.send(onTheWay, [this, node, askedAt, end] {
        whenAwake(node, [this, node, askedAt, end] {
            DutyNode &reader = m_nodes[static_cast<std::size_t>(node)];
            for (std::size_t offset = reader.m_records.m_next; offset < end; ++offset) {
                records::applyEntry(reader.m_records, offset, askedAt, m_log[offset]);
            }
            const records::Holder *holder = reader.m_records.m_state.findHolder(kochi);
            applyDuty(node, duty::HolderRead {holder ? *holder : records::Holder {kochi}, askedAt});
            gossip(node, membership::TokenKnown {holder ? holder->m_token : fleet::FencingToken {}});
        });
    });
}

void DutySite::command(int node, int worker, const std::string &kind)
{
    const DutyNode &state = m_nodes[static_cast<std::size_t>(node)];
    const std::uint64_t token = state.m_token;
    if (!state.m_workerReachable[static_cast<std::size_t>(worker)]) {
        return;
    }
    // The process may stand still between the decision and the sending.
    const fleet::Duration stall(m_queue.dice().chance(3) ? m_queue.dice().roll(60'000) : 0);
    m_queue.at(m_queue.now() + stall, [this, node, worker, kind, token] {
        m_queue.send(onTheWay, [this, node, worker, kind, token] {
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
            watch();
            const ModelWorker report = target;
            m_queue.send(onTheWay, [this, node, worker, token, report] {
                whenAwake(node, [this, node, worker, token, report] {
                    answer(node, worker, token, report);
                });
            });
        });
    });
}

void DutySite::answer(int node, int worker, std::uint64_t token, const ModelWorker &report)
{
    const fleet::WorkerId name("w" + std::to_string(worker));
    if (report.m_token > token) {
        applyDuty(node, duty::WorkerRefused {name, {report.m_token}});
        return;
    }
    DutyNode &state = m_nodes[static_cast<std::size_t>(node)];
    if (token != state.m_token || state.m_token == 0) {
        return;
    }
    applyDuty(node, duty::WorkerAnswered {name, {token}});
    const bool isHeld = m_queue.now() < report.m_leaseEnd;
    if (isHeld && report.m_running && !state.m_worker) {
        state.m_worker = worker;
        state.m_started = true;
        state.m_sentAt = m_queue.now();
    } else if (isHeld && !report.m_running && state.m_worker == worker && !state.m_started && duty::mayStart(state.m_duty, m_queue.now())) {
        state.m_started = true;
        state.m_sentAt = m_queue.now();
        command(node, worker, "start");
    }
}

void DutySite::schedule(int node)
{
    DutyNode &state = m_nodes[static_cast<std::size_t>(node)];
    const fleet::TimePoint now = m_queue.now();
    if (state.m_token == 0) {
        return;
    }
    if (!state.m_worker && duty::mayStart(state.m_duty, now)) {
        state.m_worker = m_queue.dice().roll(workerCount);
        state.m_started = false;
        state.m_sentAt = now;
        command(node, *state.m_worker, "reserve");
    } else if (state.m_worker && state.m_started && duty::mayRenew(state.m_duty, now) && state.m_sentAt + renewInterval <= now && !m_queue.dice().chance(5)) {
        state.m_sentAt = now;
        command(node, *state.m_worker, "renew");
    } else if (state.m_worker && state.m_sentAt + 8 * duty::Settings().m_lease <= now) {
        // Nothing was sent for so long that the lease has lapsed wherever the last message went.
        state.m_worker.reset();
    }
}

bool DutySite::isRunning(const ModelWorker &worker) const
{
    return worker.m_running && m_queue.now() < worker.m_leaseEnd;
}

void DutySite::watch()
{
    const auto running = std::count_if(m_workers.begin(), m_workers.end(), [this](const ModelWorker &worker) {
        return isRunning(worker);
    });
    if (running > 1) {
        m_violation = "the job runs on " + std::to_string(running) + " workers at once";
    }
}

void DutySite::tick(int node)
{
    DutyNode &state = m_nodes[static_cast<std::size_t>(node)];
    if (state.m_pausedUntil <= m_queue.now()) {
        exchangeLog(node);
        gossip(node, membership::Tick {});
        const records::Holder *holder = state.m_records.m_state.findHolder(kochi);
        applyDuty(node, membership::dutyView(state.m_membership, holder ? *holder : records::Holder {kochi}, m_queue.now()));
        applyDuty(node, duty::Tick {});
        schedule(node);
    }
    m_queue.at(m_queue.now() + tickInterval, [this, node] {
        tick(node);
    });
}

void DutySite::changeFaults()
{
    const bool logDown = m_queue.dice().chance(15);
    for (DutyNode &node : m_nodes) {
        node.m_logReachable = !logDown && !m_queue.dice().chance(40);
        for (int worker = 0; worker < workerCount; ++worker) {
            node.m_workerReachable[static_cast<std::size_t>(worker)] = !m_queue.dice().chance(40);
        }
        if (m_queue.dice().chance(20)) {
            node.m_pausedUntil = m_queue.now() + std::chrono::seconds(1 + m_queue.dice().roll(60));
        }
    }
    for (auto &row : m_linked) {
        for (std::size_t to = 0; to < row.size(); ++to) {
            row[to] = !m_queue.dice().chance(50);
        }
    }
    m_queue.at(m_queue.now() + std::chrono::seconds(10 + m_queue.dice().roll(150)), [this] {
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
