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

/// A simulated instance.
struct RequestInstance
{
    requests::State m_state;
    std::uint64_t m_incarnation = 0;
    bool m_alive = true;
    fleet::TimePoint m_pausedUntil;
    /// Other incarnations whose request ids this instance took over.
    std::vector<requests::Issuer> m_takenOverIssuers;
    /// The instance to which this one hands over its request ids in a planned stop; -1 before the stop.
    int m_successor = -1;
};

/// A caller with one request.
struct Caller
{
    requests::Request m_request;
    requests::RequestIdParts m_idParts;
    int m_sendCount = 0;
    bool m_hasFinalAnswer = false;
    std::vector<requests::Answer> m_answers;
};

/// Simulates several instances, runners and callers in one process, with faults on every message between them.
class RequestSite
{
public:
    RequestSite(std::uint64_t seed, const requests::Settings &settings);

    /// Runs callers and faults for 60 s, then 60 s without new faults.
    void run();

    /// Returns the first violated guarantee; empty if there is none.
    std::string findViolation() const;

    /// Returns the number of callers whose request was answered as done.
    int countDone() const;

private:
    void startInstance(int instance);
    void scheduleTicks(int instance, std::uint64_t incarnation);
    void whenAwake(int instance, std::uint64_t incarnation, const std::function<void()> &action);
    void apply(int instance, const requests::Event &event);
    void execute(int instance, const std::vector<requests::Action> &actions);
    void dispatch(int instance, const requests::Dispatch &dispatch);
    void sendRequest(int caller);
    void arrive(int instance, int caller, int sendCount, const requests::Request &request);
    void forward(int from, int to, int caller, int sendCount, bool toSuccessor);
    void answerCaller(int caller, int sendCount, const requests::Answer &answer);
    void injectFault();
    void stopInstance(int instance);
    void sendHandover(int instance, std::uint64_t incarnation, int successor, const requests::Handover &handover, int tries);
    std::vector<requests::Dispatcher> knownDispatchers(int instance);
    void addCaller();

    MessageQueue m_queue;
    requests::Settings m_settings;
    std::vector<RequestInstance> m_instances;
    std::vector<Caller> m_callers;
    std::uint64_t m_lastWaiter = 0;
    std::uint64_t m_lastIncarnation = 0;
    /// Caller and send count of each waiting connection.
    std::map<std::uint64_t, std::pair<int, int>> m_waiters;
    /// Number of runs over all runners, by request id and body.
    std::map<std::pair<fleet::RequestId, std::string>, int> m_runs;
    std::string m_violation;
    bool m_faultsOver = false;
};

}

#endif
