#ifndef COMPONENTS_STANDIN_RELAY_FAULTS_HPP
#define COMPONENTS_STANDIN_RELAY_FAULTS_HPP

#include "components/fleet/time.hpp"

#include <string>
#include <vector>

namespace standin
{

/// Network faults on one relay route. Forward means from the callers to the target.
struct RelayFaults
{
    /// While a direction is cut, TCP bytes are held back until the cut ends and datagrams are lost.
    bool m_cutForward = false;
    bool m_cutBackward = false;
    /// Callers whose forward (m_cutFrom) or backward (m_cutTo) traffic is cut.
    std::vector<std::string> m_cutFrom;
    std::vector<std::string> m_cutTo;
    /// Delay of every TCP chunk and datagram, in both directions.
    fleet::Duration m_delay {0};
    /// Maximum random extra delay of datagrams, which reorders them.
    fleet::Duration m_jitter {0};
    /// Percentages of datagrams that are dropped or duplicated. TCP is not affected.
    int m_dropPercent = 0;
    int m_duplicatePercent = 0;

    bool operator==(const RelayFaults &) const = default;
};

}

#endif
