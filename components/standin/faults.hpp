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
    bool m_silent = false;
    /// What arrives takes effect when the pause ends. Leases lapse meanwhile.
    bool m_paused = false;
    /// Every call waits this long before it takes effect.
    fleet::Duration m_slow {0};
    /// Every answer waits this long after the call took effect.
    fleet::Duration m_late {0};
    /// Every n-th call takes effect and its answer is lost; 0 for none.
    int m_loseEvery = 0;
    /// Each answer waits for the next one, and the two are exchanged.
    bool m_crossed = false;
    /// Worker: tasks that start now fail.
    bool m_failTasks = false;
    /// List: frozen as it is now.
    bool m_stale = false;
    /// List: lags by this much more.
    fleet::Duration m_lag {0};

    bool operator==(const Faults &) const = default;
};

}

#endif
