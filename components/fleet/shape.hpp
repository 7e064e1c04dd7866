#ifndef COMPONENTS_FLEET_SHAPE_HPP
#define COMPONENTS_FLEET_SHAPE_HPP

#include "components/fleet/adjacency.hpp"
#include "components/fleet/resources.hpp"

namespace fleet
{

/// Requirements of a gang: the number of equal tasks and how close together they must run.
struct Shape
{
    int m_tasks = 1;
    Resources m_perTask;
    Adjacency m_adjacency = Adjacency::SameZone;

    bool operator==(const Shape &) const = default;

    Resources total() const
    {
        return m_perTask * m_tasks;
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_tasks, m_perTask, m_adjacency);
    }
};

}

#endif
