#ifndef COMPONENTS_REPORT_OBJECTIVE_TARGETS_HPP
#define COMPONENTS_REPORT_OBJECTIVE_TARGETS_HPP

#include "components/fleet/time.hpp"
#include "components/report/objective.hpp"

namespace report
{

/// Thresholds for good events, and the minimum share of good events of each objective.
struct ObjectiveTargets
{
    fleet::Duration m_completionWait = std::chrono::minutes(30);
    fleet::Duration m_reclaimTime = std::chrono::seconds(60);
    fleet::Duration m_urgentStart {7900};
    double m_completionShare = 0.95;
    double m_reclaimShare = 0.99;
    double m_urgentShare = 0.99;
    double m_requestShare = 0.999;

    bool operator==(const ObjectiveTargets &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        fleet::serializeDuration(archive, m_completionWait);
        fleet::serializeDuration(archive, m_reclaimTime);
        fleet::serializeDuration(archive, m_urgentStart);
        archive(m_completionShare, m_reclaimShare, m_urgentShare, m_requestShare);
    }
};

/// Minimum share of good events of the objective, between 0 and 1.
double targetShare(const ObjectiveTargets &targets, Objective objective);

}

#endif
