#include "components/instances/request_site.hpp"

#include <algorithm>

namespace instances
{

namespace
{

constexpr int instanceCount = 4;
constexpr int runnerCount = 4;
constexpr int callerCount = 40;
constexpr int maxSends = 6;
/// Added to an attempt number, gives the number of an attempt that this instance never made.
constexpr int otherExchange = 100;
const wire::Keys keys {"key", {}};
const fleet::AccountId studio {"studio"};
const fleet::ZoneId kochi {"kochi"};
const Faults betweenInstances {10, 15, 20, std::chrono::seconds(8)};
const Faults toRunner {10, 0, 20, std::chrono::seconds(8)};
const Faults toCaller {10, 0, 10, std::chrono::seconds(3)};

fleet::InstanceId instanceName(int instance)
{
    return fleet::InstanceId("i" + std::to_string(instance));
}

std::string expectedAnswer(const fleet::RequestId &id, const std::string &body)
{
    return "answer to " + id.value() + " with " + body;
}

}

RequestSite::RequestSite(std::uint64_t seed, const requests::Settings &settings)
    : m_queue(seed)
    , m_settings(settings)
    , m_instances(instanceCount)
{
    for (int instance = 0; instance < instanceCount; ++instance) {
        startInstance(instance);
    }
}

void RequestSite::startInstance(int instance)
{
    RequestInstance &started = m_instances[static_cast<std::size_t>(instance)];
    started = {};
    started.m_incarnation = ++m_lastIncarnation;
    started.m_state = requests::makeState(m_settings, instanceName(instance), {started.m_incarnation}, kochi);
    apply(instance, requests::AccountsChanged {{{studio, 1.0, 100.0}}});
    for (int runner = 0; runner < runnerCount; ++runner) {
        apply(instance, requests::RunnerListed {fleet::RunnerId("r" + std::to_string(runner)), kochi, 8, 60, false});
    }
    scheduleTicks(instance, started.m_incarnation);
}

void RequestSite::scheduleTicks(int instance, std::uint64_t incarnation)
{
    m_queue.at(m_queue.now() + std::chrono::milliseconds(100), [this, instance, incarnation] {
        whenAwake(instance, incarnation, [this, instance, incarnation] {
            apply(instance, requests::Tick {});
            scheduleTicks(instance, incarnation);
        });
    });
}

void RequestSite::whenAwake(int instance, std::uint64_t incarnation, const std::function<void()> &action)
{
    const RequestInstance &requestInstance = m_instances[static_cast<std::size_t>(instance)];
    if (!requestInstance.m_alive || requestInstance.m_incarnation != incarnation) {
        return;
    }
    if (m_queue.now() < requestInstance.m_pausedUntil) {
        m_queue.at(requestInstance.m_pausedUntil, [this, instance, incarnation, action] {
            whenAwake(instance, incarnation, action);
        });
        return;
    }
    action();
}

void RequestSite::apply(int instance, const requests::Event &event)
{
    execute(instance, requests::step(m_instances[static_cast<std::size_t>(instance)].m_state, event, m_queue.now()));
}

void RequestSite::execute(int instance, const std::vector<requests::Action> &actions)
{
    for (const requests::Action &action : actions) {
        if (const auto *sent = std::get_if<requests::Dispatch>(&action)) {
            dispatch(instance, *sent);
        } else if (const auto *reply = std::get_if<requests::Reply>(&action)) {
            const auto [caller, sendCount] = m_waiters.at(reply->m_waiter.m_value);
            const requests::Answer answer = reply->m_answer;
            m_queue.send(toCaller, [this, caller = caller, sendCount = sendCount, answer] {
                answerCaller(caller, sendCount, answer);
            });
        } else if (const auto *moved = std::get_if<requests::ForwardToSuccessor>(&action)) {
            const auto [caller, sendCount] = m_waiters.at(moved->m_waiter.m_value);
            const int successor = m_instances[static_cast<std::size_t>(instance)].m_successor;
            if (successor >= 0) {
                forward(instance, successor, caller, sendCount, true);
            }
        }
    }
}

void RequestSite::dispatch(int instance, const requests::Dispatch &sent)
{
    const std::uint64_t incarnation = m_instances[static_cast<std::size_t>(instance)].m_incarnation;
    const auto notify = [this, instance, incarnation](const requests::Event &event) {
        m_queue.send({0, 20, 20, std::chrono::seconds(8)}, [this, instance, incarnation, event] {
            whenAwake(instance, incarnation, [this, instance, event] {
                apply(instance, event);
            });
        });
    };
    if (m_queue.random().percentChance(5)) {
        notify(requests::DispatchFailed {sent.m_request, sent.m_attempt, sent.m_runner, false});
        return;
    }
    const bool loseAnswer = m_queue.random().percentChance(10);
    const bool refuse = m_queue.random().percentChance(5);
    const bool arrives = m_queue.send(toRunner, [this, sent, notify, loseAnswer, refuse] {
        if (!refuse) {
            ++m_runs[{sent.m_request, sent.m_body}];
        }
        if (loseAnswer) {
            notify(requests::DispatchFailed {sent.m_request, sent.m_attempt, sent.m_runner, true});
            return;
        }
        notify(requests::RunnerAnswered {sent.m_request, sent.m_attempt, sent.m_runner, !refuse, expectedAnswer(sent.m_request, sent.m_body)});
        if (m_queue.random().percentChance(5)) {
            // An answer that belongs to another exchange on the same connection.
            notify(requests::RunnerAnswered {sent.m_request, sent.m_attempt + otherExchange, sent.m_runner, true, "crossed"});
        }
    });
    if (!arrives) {
        notify(requests::DispatchFailed {sent.m_request, sent.m_attempt, sent.m_runner, true});
    }
}

void RequestSite::addCaller()
{
    const int instance = m_queue.random().below(instanceCount);
    RequestInstance &issuer = m_instances[static_cast<std::size_t>(instance)];
    if (!issuer.m_alive || m_queue.now() < issuer.m_pausedUntil || issuer.m_state.m_stopping) {
        return;
    }
    Caller caller;
    caller.m_idParts = requests::issueId(issuer.m_state);
    caller.m_request.m_id = requests::formatId(keys, caller.m_idParts);
    if (!m_callers.empty() && m_queue.random().percentChance(5)) {
        // A faulty caller that uses the id of another caller.
        caller.m_idParts = m_callers.back().m_idParts;
        caller.m_request.m_id = m_callers.back().m_request.m_id;
    }
    caller.m_request.m_account = studio;
    caller.m_request.m_kind = "slot match";
    caller.m_request.m_idempotent = m_queue.random().percentChance(30);
    caller.m_request.m_body = "body " + std::to_string(m_callers.size());
    m_callers.push_back(caller);
    // Some callers use their id only after a delay; the instance that issued it may have stopped by then.
    const int holdMs = m_queue.random().percentChance(30) ? 10'000 : 1;
    m_queue.at(m_queue.now() + fleet::Duration(m_queue.random().below(holdMs)), [this, index = static_cast<int>(m_callers.size()) - 1] {
        sendRequest(index);
    });
}

void RequestSite::sendRequest(int caller)
{
    Caller &sender = m_callers[static_cast<std::size_t>(caller)];
    if (sender.m_hasFinalAnswer || sender.m_sendCount >= maxSends) {
        return;
    }
    const int sendCount = ++sender.m_sendCount;
    sender.m_request.m_deadline = m_queue.now() + std::chrono::seconds(3);
    const requests::Request request = sender.m_request;
    const int instance = m_queue.random().below(instanceCount);
    m_queue.send({5, 0, 10, std::chrono::seconds(5)}, [this, instance, caller, sendCount, request] {
        whenAwake(instance, m_instances[static_cast<std::size_t>(instance)].m_incarnation, [this, instance, caller, sendCount, request] {
            arrive(instance, caller, sendCount, request);
        });
    });
    m_queue.at(m_queue.now() + std::chrono::seconds(4), [this, caller, sendCount] {
        if (m_callers[static_cast<std::size_t>(caller)].m_sendCount == sendCount) {
            sendRequest(caller);
        }
    });
}

std::vector<requests::Dispatcher> RequestSite::knownDispatchers(int instance)
{
    std::vector<requests::Dispatcher> known;
    for (int other = 0; other < instanceCount; ++other) {
        const RequestInstance &state = m_instances[static_cast<std::size_t>(other)];
        // An instance's view of the others may be outdated; its view of itself is always correct.
        if (other != instance && m_queue.random().percentChance(15)) {
            continue;
        }
        requests::Dispatcher dispatcher {instanceName(other), state.m_takenOverIssuers};
        dispatcher.m_issuers.push_back({instanceName(other), {state.m_incarnation}});
        known.push_back(dispatcher);
    }
    return known;
}

void RequestSite::arrive(int instance, int caller, int sendCount, const requests::Request &request)
{
    const requests::RequestIdParts idParts = m_callers[static_cast<std::size_t>(caller)].m_idParts;
    const requests::Route route = requests::route(idParts, sendCount, instanceName(instance), knownDispatchers(instance));
    if (const auto *answer = std::get_if<requests::Answer>(&route)) {
        answerCaller(caller, sendCount, *answer);
    } else if (const auto *other = std::get_if<requests::ForwardTo>(&route)) {
        forward(instance, std::stoi(other->m_instance.value().substr(1)), caller, sendCount, false);
    } else {
        const std::uint64_t waiter = ++m_lastWaiter;
        m_waiters[waiter] = {caller, sendCount};
        apply(instance, requests::Submitted {request, idParts, sendCount, {waiter}});
    }
}

void RequestSite::forward(int from, int to, int caller, int sendCount, bool toSuccessor)
{
    const requests::Request request = m_callers[static_cast<std::size_t>(caller)].m_request;
    const RequestInstance &requestInstance = m_instances[static_cast<std::size_t>(to)];
    if (!requestInstance.m_alive || from == to || m_queue.random().percentChance(5)) {
        answerCaller(caller, sendCount, requests::answerFailedForward(sendCount, toSuccessor));
        return;
    }
    const std::uint64_t incarnation = requestInstance.m_incarnation;
    if (m_queue.random().percentChance(10)) {
        // The connection breaks; the request may or may not have arrived.
        m_queue.send(betweenInstances, [this, caller, sendCount] {
            answerCaller(caller, sendCount, requests::answerFailedForward(sendCount, true));
        });
    }
    m_queue.send(betweenInstances, [this, to, incarnation, caller, sendCount, request] {
        whenAwake(to, incarnation, [this, to, caller, sendCount, request] {
            const std::uint64_t waiter = ++m_lastWaiter;
            m_waiters[waiter] = {caller, sendCount};
            apply(to, requests::Submitted {request, m_callers[static_cast<std::size_t>(caller)].m_idParts, sendCount, {waiter}});
        });
    });
}

void RequestSite::answerCaller(int caller, int sendCount, const requests::Answer &answer)
{
    Caller &sender = m_callers[static_cast<std::size_t>(caller)];
    // A caller closes the earlier connection before it sends again, so it never receives an answer to an earlier send.
    if (sender.m_hasFinalAnswer || sender.m_sendCount != sendCount) {
        return;
    }
    sender.m_answers.push_back(answer);
    if (answer.m_kind == requests::AnswerKind::OutcomeUnknown) {
        sendRequest(caller);
        return;
    }
    sender.m_hasFinalAnswer = true;
    if (answer.m_kind == requests::AnswerKind::Done && answer.m_body != expectedAnswer(sender.m_request.m_id, sender.m_request.m_body)) {
        m_violation = "an answer belongs to another request: " + answer.m_body;
    }
}

void RequestSite::injectFault()
{
    if (m_faultsOver) {
        return;
    }
    const int instance = m_queue.random().below(instanceCount);
    RequestInstance &requestInstance = m_instances[static_cast<std::size_t>(instance)];
    switch (m_queue.random().below(4)) {
    case 0:
        requestInstance.m_alive = false;
        m_queue.at(m_queue.now() + std::chrono::seconds(1 + m_queue.random().below(5)), [this, instance] {
            startInstance(instance);
        });
        break;
    case 1:
        requestInstance.m_pausedUntil = m_queue.now() + std::chrono::seconds(1 + m_queue.random().below(20));
        break;
    case 2:
        stopInstance(instance);
        break;
    default:
        break;
    }
    m_queue.at(m_queue.now() + std::chrono::milliseconds(500 + m_queue.random().below(4000)), [this] {
        injectFault();
    });
}

void RequestSite::stopInstance(int instance)
{
    RequestInstance &requestInstance = m_instances[static_cast<std::size_t>(instance)];
    const int successor = (instance + 1 + m_queue.random().below(instanceCount - 1)) % instanceCount;
    if (!requestInstance.m_alive || m_queue.now() < requestInstance.m_pausedUntil || requestInstance.m_state.m_handedOver) {
        return;
    }
    std::vector<requests::Action> actions;
    const requests::Handover handover = requests::handOver(requestInstance.m_state, actions, m_queue.now());
    requestInstance.m_successor = successor;
    execute(instance, actions);
    sendHandover(instance, requestInstance.m_incarnation, successor, handover, 5);
    const std::uint64_t incarnation = requestInstance.m_incarnation;
    m_queue.at(m_queue.now() + std::chrono::seconds(10), [this, instance, incarnation] {
        if (m_instances[static_cast<std::size_t>(instance)].m_incarnation == incarnation) {
            startInstance(instance);
        }
    });
}

void RequestSite::sendHandover(int instance, std::uint64_t incarnation, int successor, const requests::Handover &handover, int tries)
{
    const std::uint64_t successorIncarnation = m_instances[static_cast<std::size_t>(successor)].m_incarnation;
    m_queue.send(betweenInstances, [this, successor, successorIncarnation, handover] {
        whenAwake(successor, successorIncarnation, [this, successor, handover] {
            RequestInstance &requestInstance = m_instances[static_cast<std::size_t>(successor)];
            if (!requests::acceptHandover(requestInstance.m_state, handover, m_queue.now())) {
                return;
            }
            for (const requests::IdRange &range : handover.m_ranges) {
                requestInstance.m_takenOverIssuers.push_back({range.m_instance, range.m_incarnation});
            }
        });
    });
    if (tries > 1) {
        m_queue.at(m_queue.now() + std::chrono::seconds(1), [this, instance, incarnation, successor, successorIncarnation, handover, tries] {
            const bool same = m_instances[static_cast<std::size_t>(successor)].m_incarnation == successorIncarnation;
            if (same && m_instances[static_cast<std::size_t>(instance)].m_incarnation == incarnation) {
                sendHandover(instance, incarnation, successor, handover, tries - 1);
            }
        });
    }
}

void RequestSite::run()
{
    injectFault();
    for (int i = 0; i < callerCount; ++i) {
        m_queue.at(m_queue.now() + std::chrono::milliseconds(m_queue.random().below(30'000)), [this] {
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
