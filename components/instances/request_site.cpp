#include "components/instances/request_site.hpp"

#include <algorithm>

namespace instances
{

namespace
{

constexpr int nodeCount = 4;
constexpr int runnerCount = 4;
constexpr int callerCount = 40;
constexpr int maxSendings = 6;
/// Added to an attempt number, names one that this instance never made.
constexpr int otherExchange = 100;
const wire::Keys keys {"key", {}};
const fleet::AccountId studio {"studio"};
const fleet::ZoneId kochi {"kochi"};
const Faults betweenInstances {10, 15, 20, std::chrono::seconds(8)};
const Faults toRunner {10, 0, 20, std::chrono::seconds(8)};
const Faults toCaller {10, 0, 10, std::chrono::seconds(3)};

fleet::InstanceId nodeName(int node)
{
    return fleet::InstanceId("i" + std::to_string(node));
}

std::string expectedAnswer(const fleet::RequestId &id, const std::string &body)
{
    return "answer to " + id.value() + " with " + body;
}

}

RequestSite::RequestSite(std::uint64_t seed, const requests::Settings &settings)
    : m_queue(seed)
    , m_settings(settings)
    , m_nodes(nodeCount)
{
    for (int node = 0; node < nodeCount; ++node) {
        startNode(node);
    }
}

void RequestSite::startNode(int node)
{
    Node &started = m_nodes[static_cast<std::size_t>(node)];
    started = {};
    started.m_incarnation = ++m_lastIncarnation;
    started.m_state = requests::makeState(m_settings, nodeName(node), {started.m_incarnation}, kochi);
    apply(node, requests::AccountsChanged {{{studio, 1.0, 100.0}}});
    for (int runner = 0; runner < runnerCount; ++runner) {
        apply(node, requests::RunnerListed {fleet::RunnerId("r" + std::to_string(runner)), kochi, 8, 60, false});
    }
    scheduleTicks(node, started.m_incarnation);
}

void RequestSite::scheduleTicks(int node, std::uint64_t incarnation)
{
    m_queue.at(m_queue.now() + std::chrono::milliseconds(100), [this, node, incarnation] {
        whenAwake(node, incarnation, [this, node, incarnation] {
            apply(node, requests::Tick {});
            scheduleTicks(node, incarnation);
        });
    });
}

void RequestSite::whenAwake(int node, std::uint64_t incarnation, const std::function<void()> &action)
{
    const Node &target = m_nodes[static_cast<std::size_t>(node)];
    if (!target.m_alive || target.m_incarnation != incarnation) {
        return;
    }
    if (m_queue.now() < target.m_pausedUntil) {
        m_queue.at(target.m_pausedUntil, [this, node, incarnation, action] {
            whenAwake(node, incarnation, action);
        });
        return;
    }
    action();
}

void RequestSite::apply(int node, const requests::Event &event)
{
    execute(node, requests::step(m_nodes[static_cast<std::size_t>(node)].m_state, event, m_queue.now()));
}

void RequestSite::execute(int node, const std::vector<requests::Action> &actions)
{
    for (const requests::Action &action : actions) {
        if (const auto *sent = std::get_if<requests::Dispatch>(&action)) {
            dispatch(node, *sent);
        } else if (const auto *reply = std::get_if<requests::Reply>(&action)) {
            const auto [caller, sending] = m_waiters.at(reply->m_waiter.m_value);
            const requests::Answer answer = reply->m_answer;
            m_queue.send(toCaller, [this, caller = caller, sending = sending, answer] {
                answerCaller(caller, sending, answer);
            });
        } else if (const auto *moved = std::get_if<requests::ForwardToSuccessor>(&action)) {
            const auto [caller, sending] = m_waiters.at(moved->m_waiter.m_value);
            const int heir = m_nodes[static_cast<std::size_t>(node)].m_heir;
            if (heir >= 0) {
                forward(node, heir, caller, sending, true);
            }
        }
    }
}

void RequestSite::dispatch(int node, const requests::Dispatch &sent)
{
    const std::uint64_t incarnation = m_nodes[static_cast<std::size_t>(node)].m_incarnation;
    const auto tell = [this, node, incarnation](const requests::Event &event) {
        m_queue.send({0, 20, 20, std::chrono::seconds(8)}, [this, node, incarnation, event] {
            whenAwake(node, incarnation, [this, node, event] {
                apply(node, event);
            });
        });
    };
    if (m_queue.dice().chance(5)) {
        tell(requests::DispatchFailed {sent.m_request, sent.m_attempt, sent.m_runner, false});
        return;
    }
    const bool loseAnswer = m_queue.dice().chance(10);
    const bool refuse = m_queue.dice().chance(5);
    const bool arrives = m_queue.send(toRunner, [this, sent, tell, loseAnswer, refuse] {
        if (!refuse) {
            ++m_runs[{sent.m_request, sent.m_body}];
        }
        if (loseAnswer) {
            tell(requests::DispatchFailed {sent.m_request, sent.m_attempt, sent.m_runner, true});
            return;
        }
        tell(requests::RunnerAnswered {sent.m_request, sent.m_attempt, sent.m_runner, !refuse, expectedAnswer(sent.m_request, sent.m_body)});
        if (m_queue.dice().chance(5)) {
            // An answer that belongs to another exchange on the same connection.
            tell(requests::RunnerAnswered {sent.m_request, sent.m_attempt + otherExchange, sent.m_runner, true, "crossed"});
        }
    });
    if (!arrives) {
        tell(requests::DispatchFailed {sent.m_request, sent.m_attempt, sent.m_runner, true});
    }
}

void RequestSite::addCaller()
{
    const int node = m_queue.dice().roll(nodeCount);
    Node &issuer = m_nodes[static_cast<std::size_t>(node)];
    if (!issuer.m_alive || m_queue.now() < issuer.m_pausedUntil || issuer.m_state.m_stopping) {
        return;
    }
    Caller caller;
    caller.m_minted = requests::issueId(issuer.m_state);
    caller.m_request.m_id = requests::formatId(keys, caller.m_minted);
    if (!m_callers.empty() && m_queue.dice().chance(5)) {
        // A faulty caller that uses another's id.
        caller.m_minted = m_callers.back().m_minted;
        caller.m_request.m_id = m_callers.back().m_request.m_id;
    }
    caller.m_request.m_account = studio;
    caller.m_request.m_kind = "slot match";
    caller.m_request.m_idempotent = m_queue.dice().chance(30);
    caller.m_request.m_body = "body " + std::to_string(m_callers.size());
    m_callers.push_back(caller);
    // Some callers hold their id for a while; the instance that issued it may have stopped by then.
    const int holdMs = m_queue.dice().chance(30) ? 10'000 : 1;
    m_queue.at(m_queue.now() + fleet::Duration(m_queue.dice().roll(holdMs)), [this, index = static_cast<int>(m_callers.size()) - 1] {
        sendRequest(index);
    });
}

void RequestSite::sendRequest(int caller)
{
    Caller &sender = m_callers[static_cast<std::size_t>(caller)];
    if (sender.m_settled || sender.m_sending >= maxSendings) {
        return;
    }
    const int sending = ++sender.m_sending;
    sender.m_request.m_deadline = m_queue.now() + std::chrono::seconds(3);
    const requests::Request request = sender.m_request;
    const int node = m_queue.dice().roll(nodeCount);
    m_queue.send({5, 0, 10, std::chrono::seconds(5)}, [this, node, caller, sending, request] {
        whenAwake(node, m_nodes[static_cast<std::size_t>(node)].m_incarnation, [this, node, caller, sending, request] {
            arrive(node, caller, sending, request);
        });
    });
    m_queue.at(m_queue.now() + std::chrono::seconds(4), [this, caller, sending] {
        if (m_callers[static_cast<std::size_t>(caller)].m_sending == sending) {
            sendRequest(caller);
        }
    });
}

std::vector<requests::Dispatcher> RequestSite::believedDispatchers(int node)
{
    std::vector<requests::Dispatcher> believed;
    for (int other = 0; other < nodeCount; ++other) {
        const Node &state = m_nodes[static_cast<std::size_t>(other)];
        // Belief about the others lags and errs; about itself it does not.
        if (other != node && m_queue.dice().chance(15)) {
            continue;
        }
        requests::Dispatcher dispatcher {nodeName(other), state.m_inherited};
        dispatcher.m_issuers.push_back({nodeName(other), {state.m_incarnation}});
        believed.push_back(dispatcher);
    }
    return believed;
}

void RequestSite::arrive(int node, int caller, int sending, const requests::Request &request)
{
    const requests::RequestIdParts minted = m_callers[static_cast<std::size_t>(caller)].m_minted;
    const requests::Route route = requests::route(minted, sending, nodeName(node), believedDispatchers(node));
    if (const auto *answer = std::get_if<requests::Answer>(&route)) {
        answerCaller(caller, sending, *answer);
    } else if (const auto *other = std::get_if<requests::ForwardTo>(&route)) {
        forward(node, std::stoi(other->m_instance.value().substr(1)), caller, sending, false);
    } else {
        const std::uint64_t waiter = ++m_lastWaiter;
        m_waiters[waiter] = {caller, sending};
        apply(node, requests::Submitted {request, minted, sending, {waiter}});
    }
}

void RequestSite::forward(int from, int to, int caller, int sending, bool toHeir)
{
    const requests::Request request = m_callers[static_cast<std::size_t>(caller)].m_request;
    const Node &target = m_nodes[static_cast<std::size_t>(to)];
    if (!target.m_alive || from == to || m_queue.dice().chance(5)) {
        answerCaller(caller, sending, requests::answerFailedForward(sending, toHeir));
        return;
    }
    const std::uint64_t incarnation = target.m_incarnation;
    if (m_queue.dice().chance(10)) {
        // The connection breaks; the request may have passed or not.
        m_queue.send(betweenInstances, [this, caller, sending] {
            answerCaller(caller, sending, requests::answerFailedForward(sending, true));
        });
    }
    m_queue.send(betweenInstances, [this, to, incarnation, caller, sending, request] {
        whenAwake(to, incarnation, [this, to, caller, sending, request] {
            const std::uint64_t waiter = ++m_lastWaiter;
            m_waiters[waiter] = {caller, sending};
            apply(to, requests::Submitted {request, m_callers[static_cast<std::size_t>(caller)].m_minted, sending, {waiter}});
        });
    });
}

void RequestSite::answerCaller(int caller, int sending, const requests::Answer &answer)
{
    Caller &sender = m_callers[static_cast<std::size_t>(caller)];
    // A caller closes the earlier connection before it sends again, so it never hears an answer to an earlier sending.
    if (sender.m_settled || sender.m_sending != sending) {
        return;
    }
    sender.m_answers.push_back(answer);
    if (answer.m_kind == requests::AnswerKind::OutcomeUnknown) {
        sendRequest(caller);
        return;
    }
    sender.m_settled = true;
    if (answer.m_kind == requests::AnswerKind::Done && answer.m_body != expectedAnswer(sender.m_request.m_id, sender.m_request.m_body)) {
        m_violation = "an answer belongs to another request: " + answer.m_body;
    }
}

void RequestSite::injectFault()
{
    if (m_faultsOver) {
        return;
    }
    const int node = m_queue.dice().roll(nodeCount);
    Node &target = m_nodes[static_cast<std::size_t>(node)];
    switch (m_queue.dice().roll(4)) {
    case 0:
        target.m_alive = false;
        m_queue.at(m_queue.now() + std::chrono::seconds(1 + m_queue.dice().roll(5)), [this, node] {
            startNode(node);
        });
        break;
    case 1:
        target.m_pausedUntil = m_queue.now() + std::chrono::seconds(1 + m_queue.dice().roll(20));
        break;
    case 2:
        stopNode(node);
        break;
    default:
        break;
    }
    m_queue.at(m_queue.now() + std::chrono::milliseconds(500 + m_queue.dice().roll(4000)), [this] {
        injectFault();
    });
}

void RequestSite::stopNode(int node)
{
    Node &target = m_nodes[static_cast<std::size_t>(node)];
    const int heir = (node + 1 + m_queue.dice().roll(nodeCount - 1)) % nodeCount;
    if (!target.m_alive || m_queue.now() < target.m_pausedUntil || target.m_state.m_handedOver) {
        return;
    }
    std::vector<requests::Action> actions;
    const requests::Handover handover = requests::handOver(target.m_state, actions, m_queue.now());
    target.m_heir = heir;
    execute(node, actions);
    sendHandover(node, target.m_incarnation, heir, handover, 5);
    const std::uint64_t incarnation = target.m_incarnation;
    m_queue.at(m_queue.now() + std::chrono::seconds(10), [this, node, incarnation] {
        if (m_nodes[static_cast<std::size_t>(node)].m_incarnation == incarnation) {
            startNode(node);
        }
    });
}

void RequestSite::sendHandover(int node, std::uint64_t incarnation, int heir, const requests::Handover &handover, int tries)
{
    const std::uint64_t heirIncarnation = m_nodes[static_cast<std::size_t>(heir)].m_incarnation;
    m_queue.send(betweenInstances, [this, heir, heirIncarnation, handover] {
        whenAwake(heir, heirIncarnation, [this, heir, handover] {
            Node &target = m_nodes[static_cast<std::size_t>(heir)];
            if (!requests::acceptHandover(target.m_state, handover, m_queue.now())) {
                return;
            }
            for (const requests::IdRange &range : handover.m_ranges) {
                target.m_inherited.push_back({range.m_instance, range.m_incarnation});
            }
        });
    });
    if (tries > 1) {
        m_queue.at(m_queue.now() + std::chrono::seconds(1), [this, node, incarnation, heir, heirIncarnation, handover, tries] {
            const bool same = m_nodes[static_cast<std::size_t>(heir)].m_incarnation == heirIncarnation;
            if (same && m_nodes[static_cast<std::size_t>(node)].m_incarnation == incarnation) {
                sendHandover(node, incarnation, heir, handover, tries - 1);
            }
        });
    }
}

void RequestSite::run()
{
    injectFault();
    for (int i = 0; i < callerCount; ++i) {
        m_queue.at(m_queue.now() + std::chrono::milliseconds(m_queue.dice().roll(30'000)), [this] {
            addCaller();
        });
    }
    m_queue.runUntil(m_queue.now() + std::chrono::seconds(60));
    m_faultsOver = true;
    m_queue.runUntil(m_queue.now() + std::chrono::seconds(60));
}

std::string RequestSite::findViolation() const
{
    if (!m_violation.empty()) {
        return m_violation;
    }
    std::map<fleet::RequestId, int> nonIdempotentRuns;
    for (const Caller &caller : m_callers) {
        const auto found = m_runs.find({caller.m_request.m_id, caller.m_request.m_body});
        const int runs = found == m_runs.end() ? 0 : found->second;
        const bool refused = !caller.m_answers.empty() && caller.m_answers.back().m_kind == requests::AnswerKind::DidNotRun;
        const bool done = !caller.m_answers.empty() && caller.m_answers.back().m_kind == requests::AnswerKind::Done;
        if (!caller.m_request.m_idempotent && runs > 1) {
            return "a non-idempotent request ran " + std::to_string(runs) + " times: " + caller.m_request.m_body;
        }
        if (refused && runs > 0) {
            return "a refused request ran: " + caller.m_request.m_body + ", " + caller.m_answers.back().m_reason;
        }
        if (done && runs == 0) {
            return "a request is said to be done and never ran: " + caller.m_request.m_body;
        }
    }
    return {};
}

int RequestSite::countDone() const
{
    return static_cast<int>(std::count_if(m_callers.begin(), m_callers.end(), [](const Caller &caller) {
        return !caller.m_answers.empty() && caller.m_answers.back().m_kind == requests::AnswerKind::Done;
    }));
}

}
