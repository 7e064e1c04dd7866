#ifndef COMPONENTS_STANDIN_FAULTS_HPP
#define COMPONENTS_STANDIN_FAULTS_HPP

#include "components/fleet/time.hpp"

namespace standin
{

/// Faults in force at one target or service.
struct Faults
{
    /// Nothing takes effect: the log and the list answer 503, a worker or runner closes the connection.
    bool m_down = false;
    /// Nothing takes effect and nothing is answered.
    bool m_unresponsive = false;
    /// What arrives takes effect when the pause ends. Leases lapse meanwhile.
    bool m_paused = false;
    /// Every call waits this long before it takes effect.
    fleet::Duration m_requestDelay {0};
    /// Every answer waits this long after the call took effect.
    fleet::Duration m_responseDelay {0};
    /// Every n-th call takes effect and its answer is lost; 0 for none.
    int m_loseResponseEvery = 0;
    /// Each answer waits for the next one, and the two are exchanged.
    bool m_swapResponses = false;
    /// Worker: tasks that start now fail.
    bool m_failTasks = false;
    /// List: frozen as it is now.
    bool m_freezeList = false;
    /// List: lags by this much more.
    fleet::Duration m_extraListLag {0};

    bool operator==(const Faults &) const = default;
};

}

#endif
