#ifndef COMPONENTS_STANDIN_FAULTS_HPP
#define COMPONENTS_STANDIN_FAULTS_HPP

#include "components/fleet/time.hpp"

namespace standin
{

/// Active faults of one worker, runner or service.
struct Faults
{
    /// Requests have no effect. The log and the worker list answer 503; workers and runners close the connection.
    bool m_down = false;
    /// Requests have no effect and get no response.
    bool m_unresponsive = false;
    /// Requests are served when the pause ends. Leases expire in the meantime.
    bool m_paused = false;
    /// Delay of every request before it is served.
    fleet::Duration m_requestDelay {0};
    /// Delay of every response after the request was served.
    fleet::Duration m_responseDelay {0};
    /// Every n-th request is served but its response is lost. 0 loses none.
    int m_loseResponseEvery = 0;
    /// Each response is held back until the next one, and the two are sent to each other's caller.
    bool m_swapResponses = false;
    /// Workers only: tasks started while this is set fail.
    bool m_failTasks = false;
    /// Worker list only: keeps returning the version that was visible when the fault was set, at the configured lag.
    bool m_freezeList = false;
    /// Worker list only: added to the configured lag.
    fleet::Duration m_extraListLag {0};

    bool operator==(const Faults &) const = default;
};

}

#endif
