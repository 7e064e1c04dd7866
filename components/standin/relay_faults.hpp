#ifndef COMPONENTS_STANDIN_RELAY_FAULTS_HPP
#define COMPONENTS_STANDIN_RELAY_FAULTS_HPP

#include "components/fleet/time.hpp"

#include <string>
#include <vector>

namespace standin
{

/// What a relay does to the traffic of one route. Forward is from the callers to the target.
struct RelayFaults
{
    /// TCP bytes wait until the cut ends; datagrams are lost.
    bool m_cutForward = false;
    bool m_cutBackward = false;
    /// Names of callers that are cut in that direction only.
    std::vector<std::string> m_cutFrom;
    std::vector<std::string> m_cutTo;
    /// Added to every chunk of bytes or datagram, in both directions.
    fleet::Duration m_delay {0};
    /// A random part up to this is added for datagrams, which reorders them.
    fleet::Duration m_jitter {0};
    /// Datagrams only.
    int m_dropPercent = 0;
    int m_duplicatePercent = 0;

    bool operator==(const RelayFaults &) const = default;
};

}

#endif
