#ifndef COMPONENTS_INSTANCES_REQUEST_SITE_HPP
#define COMPONENTS_INSTANCES_REQUEST_SITE_HPP

#include "components/instances/message_queue.hpp"
#include "components/requests/routing.hpp"
#include "components/requests/state.hpp"
#include "components/requests/step.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace instances
{

/// One instance as the test sees it.
struct Node
{
    requests::State m_state;
    std::uint64_t m_incarnation = 0;
    bool m_alive = true;
    fleet::TimePoint m_pausedUntil;
    /// Other incarnations whose ids it took over.
    std::vector<requests::Issuer> m_inherited;
    /// Where its own ids went in a planned stop.
    int m_heir = -1;
};

/// One caller with one request.
struct Caller
{
    requests::Request m_request;
    requests::RequestIdParts m_minted;
    int m_sending = 0;
    bool m_settled = false;
    std::vector<requests::Answer> m_answers;
};

/// Several instances, runners and callers in one process, with faults on every message between them.
class RequestSite
{
public:
    RequestSite(std::uint64_t seed, const requests::Settings &settings);

    /// Runs callers and faults for a while, then without new faults until nothing happens any more.
    void run();

    /// Returns what was broken; empty where nothing was.
    std::string findViolation() const;

    /// Callers that got the whole answer.
    int countDone() const;

private:
    void startNode(int node);
    void scheduleTicks(int node, std::uint64_t incarnation);
    void whenAwake(int node, std::uint64_t incarnation, const std::function<void()> &action);
    void apply(int node, const requests::Event &event);
    void execute(int node, const std::vector<requests::Action> &actions);
    void dispatch(int node, const requests::Dispatch &dispatch);
    void sendRequest(int caller);
    void arrive(int node, int caller, int sending, const requests::Request &request);
    void forward(int from, int to, int caller, int sending, bool toHeir);
    void answerCaller(int caller, int sending, const requests::Answer &answer);
    void injectFault();
    void stopNode(int node);
    void sendHandover(int node, std::uint64_t incarnation, int heir, const requests::Handover &handover, int tries);
    std::vector<requests::Dispatcher> believedDispatchers(int node);
    void addCaller();

    MessageQueue m_queue;
    requests::Settings m_settings;
    std::vector<Node> m_nodes;
    std::vector<Caller> m_callers;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastIncarnation = 0;
    /// Caller and sending of each waiting connection.
    std::map<std::uint64_t, std::pair<int, int>> m_waiters;
    /// How often each id ran, over all runners, by body.
    std::map<std::pair<fleet::RequestId, std::string>, int> m_runs;
    std::string m_violation;
    bool m_faultsOver = false;
};

}

#endif
