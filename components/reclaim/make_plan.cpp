#include "components/reclaim/make_plan.hpp"

#include <algorithm>
#include <numeric>

namespace reclaim
{

namespace
{

/// The inputs of one search.
struct Search
{
    const placement::Pool &m_free;
    const placement::Pool &m_ceiling;
    const std::vector<Victim> &m_victims;
    const fleet::Shape &m_shape;
    /// Victims with a task on each node.
    std::vector<std::vector<std::size_t>> m_victimsAt;
};

/// A set of nodes that could hold the shape, with the victims chosen for it.
struct Choice
{
    std::vector<int> m_nodes;
    std::vector<std::size_t> m_victims;
    double m_cost = 0;
};

Search makeSearch(const placement::Pool &free, const placement::Pool &ceiling, const std::vector<Victim> &victims, const fleet::Shape &shape)
{
    Search search {free, ceiling, victims, shape, {}};
    search.m_victimsAt.resize(free.m_nodes.size());
    for (std::size_t victim = 0; victim < victims.size(); ++victim) {
        for (const int node : victims[victim].m_nodes) {
            auto &here = search.m_victimsAt[node];
            if (here.empty() || here.back() != victim) {
                here.push_back(victim);
            }
        }
    }
    return search;
}

std::vector<std::vector<int>> candidateNodeSets(const Search &search)
{
    std::vector<int> all(search.m_free.m_nodes.size());
    std::iota(all.begin(), all.end(), 0);
    if (search.m_shape.m_adjacency == fleet::Adjacency::SameZone) {
        return {all};
    }
    if (search.m_shape.m_adjacency == fleet::Adjacency::SameRack) {
        return search.m_free.m_racks;
    }
    std::vector<std::vector<int>> groups;
    groups.reserve(all.size());
    for (const int node : all) {
        groups.push_back({node});
    }
    return groups;
}

/// A pool of the group's nodes only, by position in the group, in which victims can be released.
class GroupPool
{
public:
    GroupPool(const Search &search, const std::vector<int> &nodes)
        : m_search(search)
        , m_nodes(nodes)
        , m_released(nodes.size())
    {
    }

    void release(std::size_t victim, int sign)
    {
        const Victim &one = m_search.m_victims[victim];
        for (const int node : one.m_nodes) {
            const auto found = std::lower_bound(m_nodes.begin(), m_nodes.end(), node);
            if (found != m_nodes.end() && *found == node) {
                fleet::Resources &released = m_released[found - m_nodes.begin()];
                released = released + one.m_perTask * sign;
            }
        }
    }

    bool fits() const
    {
        int missing = m_search.m_shape.m_tasks;
        for (std::size_t position = 0; position < m_nodes.size() && missing > 0; ++position) {
            missing -= placement::tasksThatFit(availableNode(position), m_search.m_shape.m_perTask, missing);
        }
        return missing <= 0;
    }

    std::optional<placement::Assignment> assign() const
    {
        placement::Pool pool;
        for (std::size_t position = 0; position < m_nodes.size(); ++position) {
            placement::Node node = availableNode(position);
            node.m_rack = 0;
            pool.m_nodes.push_back(node);
        }
        pool.m_racks.emplace_back(m_nodes.size());
        std::iota(pool.m_racks.front().begin(), pool.m_racks.front().end(), 0);
        auto assignment = placement::place(pool, m_search.m_shape, placement::Rule::BestFit);
        if (assignment) {
            std::transform(assignment->begin(), assignment->end(), assignment->begin(), [this](int position) {
                return m_nodes[position];
            });
        }
        return assignment;
    }

private:
    placement::Node availableNode(std::size_t position) const
    {
        placement::Node node = m_search.m_free.m_nodes[m_nodes[position]];
        const placement::Node &ceiling = m_search.m_ceiling.m_nodes[m_nodes[position]];
        node.m_free = placement::componentwiseMin(node.m_free + m_released[position], ceiling.m_free);
        node.m_usable = node.m_usable && ceiling.m_usable;
        return node;
    }

    const Search &m_search;
    const std::vector<int> &m_nodes;
    std::vector<fleet::Resources> m_released;
};

/// Work lost per accelerator (or milli-core, if the shape needs no accelerators) that the victim frees on the nodes.
double costPerFreedResource(const Search &search, const std::vector<int> &nodes, std::size_t victim)
{
    const Victim &one = search.m_victims[victim];
    const auto inside = std::count_if(one.m_nodes.begin(), one.m_nodes.end(), [&nodes](int node) {
        return std::binary_search(nodes.begin(), nodes.end(), node);
    });
    const auto accelerators = static_cast<double>(one.m_perTask.m_accelerators * inside);
    const auto cores = static_cast<double>(one.m_perTask.m_milliCores * inside);
    const double freed = search.m_shape.m_perTask.m_accelerators > 0 ? accelerators : cores;
    return (one.m_cost + 1e-3) / (freed + 1e-6);
}

std::vector<std::size_t> victimsByRelativeCost(const Search &search, const std::vector<int> &nodes)
{
    std::vector<std::size_t> ids;
    for (const int node : nodes) {
        ids.insert(ids.end(), search.m_victimsAt[node].begin(), search.m_victimsAt[node].end());
    }
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    std::vector<std::pair<double, std::size_t>> ranked;
    ranked.reserve(ids.size());
    for (const std::size_t id : ids) {
        ranked.emplace_back(costPerFreedResource(search, nodes, id), id);
    }
    std::sort(ranked.begin(), ranked.end());
    std::transform(ranked.begin(), ranked.end(), ids.begin(), [](const auto &entry) {
        return entry.second;
    });
    return ids;
}

/// Returns the smallest number of victims, cheapest first, that frees enough capacity. A binary search works because the
/// freed capacity only grows with the number of victims.
std::optional<std::size_t> smallestSufficientCount(const Search &search, const std::vector<int> &nodes, const std::vector<std::size_t> &victims)
{
    const auto fitsWith = [&](std::size_t count) {
        GroupPool pool(search, nodes);
        for (std::size_t position = 0; position < count; ++position) {
            pool.release(victims[position], 1);
        }
        return pool.fits();
    };
    if (!fitsWith(victims.size())) {
        return std::nullopt;
    }
    std::size_t low = 0;
    std::size_t high = victims.size();
    while (low < high) {
        const std::size_t middle = (low + high) / 2;
        if (fitsWith(middle)) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    return low;
}

std::optional<Choice> chooseVictims(const Search &search, const std::vector<int> &nodes)
{
    std::vector<std::size_t> victims = victimsByRelativeCost(search, nodes);
    const auto count = smallestSufficientCount(search, nodes, victims);
    if (!count) {
        return std::nullopt;
    }
    victims.resize(*count);
    Choice choice {nodes, victims, 0};
    for (const std::size_t victim : victims) {
        choice.m_cost += search.m_victims[victim].m_cost;
    }
    return choice;
}

/// Keeps only the victims without which the shape does not fit. Tries to drop the most expensive victims first.
GroupPool dropUnneeded(const Search &search, Choice &choice)
{
    GroupPool pool(search, choice.m_nodes);
    for (const std::size_t victim : choice.m_victims) {
        pool.release(victim, 1);
    }
    std::sort(choice.m_victims.begin(), choice.m_victims.end(), [&search](std::size_t a, std::size_t b) {
        return search.m_victims[a].m_cost > search.m_victims[b].m_cost;
    });
    std::vector<std::size_t> needed;
    choice.m_cost = 0;
    for (const std::size_t victim : choice.m_victims) {
        pool.release(victim, -1);
        if (!pool.fits()) {
            pool.release(victim, 1);
            needed.push_back(victim);
            choice.m_cost += search.m_victims[victim].m_cost;
        }
    }
    std::sort(needed.begin(), needed.end());
    choice.m_victims = std::move(needed);
    return pool;
}

}

std::optional<Plan> makePlan(const placement::Pool &free, const placement::Pool &ceiling, const std::vector<Victim> &victims, const fleet::Shape &shape)
{
    const Search search = makeSearch(free, ceiling, victims, shape);
    std::optional<Choice> best;
    for (const std::vector<int> &nodes : candidateNodeSets(search)) {
        auto choice = chooseVictims(search, nodes);
        if (choice && (!best || choice->m_cost < best->m_cost)) {
            best = std::move(choice);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const GroupPool pool = dropUnneeded(search, *best);
    auto assignment = pool.assign();
    if (!assignment) {
        return std::nullopt;
    }
    return Plan {std::move(*assignment), best->m_victims, best->m_cost};
}

}
