#ifndef COMPONENTS_FLEET_SHAPE_HPP
#define COMPONENTS_FLEET_SHAPE_HPP

#include "components/fleet/adjacency.hpp"
#include "components/fleet/resources.hpp"

namespace fleet
{

/// What a gang needs to run: a number of equal tasks and how close together they have to be.
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
