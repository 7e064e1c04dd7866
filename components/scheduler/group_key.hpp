#ifndef COMPONENTS_SCHEDULER_GROUP_KEY_HPP
#define COMPONENTS_SCHEDULER_GROUP_KEY_HPP

#include "components/fleet/job_spec.hpp"

#include <string>
#include <tuple>

namespace scheduler
{

/// Key of waiting jobs that every placement decision treats alike, except for their order.
struct GroupKey
{
    fleet::AccountId m_account;
    std::string m_kind;
    fleet::Urgency m_urgency = fleet::Urgency::Normal;
    fleet::Shape m_shape;

    bool operator==(const GroupKey &) const = default;

    bool operator<(const GroupKey &other) const
    {
        return std::tie(m_account, m_kind, m_urgency) != std::tie(other.m_account, other.m_kind, other.m_urgency)
            ? std::tie(m_account, m_kind, m_urgency) < std::tie(other.m_account, other.m_kind, other.m_urgency)
            : isSmaller(m_shape, other.m_shape);
    }

private:
    static bool isSmaller(const fleet::Shape &a, const fleet::Shape &b)
    {
        const fleet::Resources &x = a.m_perTask;
        const fleet::Resources &y = b.m_perTask;
        return std::tie(a.m_tasks, a.m_adjacency, x.m_accelerators, x.m_milliCores, x.m_memoryMb)
            < std::tie(b.m_tasks, b.m_adjacency, y.m_accelerators, y.m_milliCores, y.m_memoryMb);
    }
};

}

#endif
