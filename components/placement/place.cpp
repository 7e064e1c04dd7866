#include "components/placement/place.hpp"

#include <algorithm>
#include <limits>
#include <numeric>

namespace placement
{

namespace
{

/// Orders nodes by free capacity, the fullest first. Compares accelerators before cores, because accelerators run out first.
bool isFuller(const Node &a, const Node &b)
{
    if (a.m_free.m_accelerators != b.m_free.m_accelerators) {
        return a.m_free.m_accelerators < b.m_free.m_accelerators;
    }
    return a.m_free.m_milliCores < b.m_free.m_milliCores;
}

std::int64_t freeAccelerators(const Pool &pool, const std::vector<int> &nodes)
{
    std::int64_t sum = 0;
    for (const int node : nodes) {
        sum += std::max<std::int64_t>(0, pool.m_nodes[node].m_free.m_accelerators);
    }
    return sum;
}

std::optional<int> chooseNode(const Pool &pool, const std::vector<int> &nodes, const fleet::Shape &shape, Rule rule)
{
    std::optional<int> best;
    for (const int node : nodes) {
        if (tasksThatFit(pool.m_nodes[node], shape.m_perTask, shape.m_tasks) < shape.m_tasks) {
            continue;
        }
        if (!best || isFuller(pool.m_nodes[node], pool.m_nodes[*best])) {
            best = node;
        }
        if (rule == Rule::FirstFit) {
            break;
        }
    }
    return best;
}

void appendTasks(const Pool &pool, const std::vector<int> &nodes, const fleet::Shape &shape, Assignment &assignment)
{
    for (const int node : nodes) {
        const int missing = shape.m_tasks - static_cast<int>(assignment.size());
        if (missing == 0) {
            return;
        }
        assignment.insert(assignment.end(), tasksThatFit(pool.m_nodes[node], shape.m_perTask, missing), node);
    }
}

/// Assigns tasks to the given nodes. Best fit takes the fullest node that fits the whole shape, else the fullest nodes first.
Assignment fill(const Pool &pool, std::vector<int> nodes, const fleet::Shape &shape, Rule rule)
{
    if (rule == Rule::BestFit) {
        if (const auto node = chooseNode(pool, nodes, shape, rule)) {
            return Assignment(shape.m_tasks, *node);
        }
        std::stable_sort(nodes.begin(), nodes.end(), [&pool](int a, int b) {
            return isFuller(pool.m_nodes[a], pool.m_nodes[b]);
        });
    }
    Assignment assignment;
    assignment.reserve(shape.m_tasks);
    appendTasks(pool, nodes, shape, assignment);
    return assignment;
}

std::vector<int> allNodes(const Pool &pool)
{
    std::vector<int> nodes(pool.m_nodes.size());
    std::iota(nodes.begin(), nodes.end(), 0);
    return nodes;
}

std::optional<Assignment> placeOnWorker(const Pool &pool, const fleet::Shape &shape, Rule rule)
{
    const auto node = chooseNode(pool, allNodes(pool), shape, rule);
    if (!node) {
        return std::nullopt;
    }
    return Assignment(shape.m_tasks, *node);
}

std::optional<Assignment> placeInRack(const Pool &pool, const fleet::Shape &shape, Rule rule)
{
    const std::vector<int> *best = nullptr;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const std::vector<int> &rack : pool.m_racks) {
        if (!fitsOn(pool, rack, shape)) {
            continue;
        }
        const std::int64_t free = freeAccelerators(pool, rack);
        if (best == nullptr || free < least) {
            best = &rack;
            least = free;
        }
        if (rule == Rule::FirstFit) {
            break;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return fill(pool, *best, shape, rule);
}

/// Returns the nodes, those of the fullest racks first, so that whole racks stay free.
std::vector<int> nodesByFullestRack(const Pool &pool)
{
    std::vector<std::pair<std::int64_t, int>> racks;
    racks.reserve(pool.m_racks.size());
    for (int rack = 0; rack < static_cast<int>(pool.m_racks.size()); ++rack) {
        racks.emplace_back(freeAccelerators(pool, pool.m_racks[rack]), rack);
    }
    std::sort(racks.begin(), racks.end());
    std::vector<int> nodes;
    nodes.reserve(pool.m_nodes.size());
    for (const auto &[free, rack] : racks) {
        std::vector<int> ordered = pool.m_racks[rack];
        std::stable_sort(ordered.begin(), ordered.end(), [&pool](int a, int b) {
            return isFuller(pool.m_nodes[a], pool.m_nodes[b]);
        });
        nodes.insert(nodes.end(), ordered.begin(), ordered.end());
    }
    return nodes;
}

std::optional<Assignment> placeInZone(const Pool &pool, const fleet::Shape &shape, Rule rule)
{
    if (rule == Rule::BestFit) {
        if (auto onWorker = placeOnWorker(pool, shape, rule)) {
            return onWorker;
        }
    }
    Assignment assignment;
    assignment.reserve(shape.m_tasks);
    appendTasks(pool, rule == Rule::BestFit ? nodesByFullestRack(pool) : allNodes(pool), shape, assignment);
    if (static_cast<int>(assignment.size()) < shape.m_tasks) {
        return std::nullopt;
    }
    return assignment;
}

}

bool fitsOn(const Pool &pool, const std::vector<int> &nodes, const fleet::Shape &shape)
{
    int missing = shape.m_tasks;
    for (const int node : nodes) {
        const int count = tasksThatFit(pool.m_nodes[node], shape.m_perTask, shape.m_tasks);
        if (shape.m_adjacency == fleet::Adjacency::SameWorker) {
            if (count == shape.m_tasks) {
                return true;
            }
            continue;
        }
        missing -= count;
        if (missing <= 0) {
            return true;
        }
    }
    return false;
}

std::optional<Assignment> place(const Pool &pool, const fleet::Shape &shape, Rule rule)
{
    switch (shape.m_adjacency) {
    case fleet::Adjacency::SameWorker:
        return placeOnWorker(pool, shape, rule);
    case fleet::Adjacency::SameRack:
        return placeInRack(pool, shape, rule);
    case fleet::Adjacency::SameZone:
        return placeInZone(pool, shape, rule);
    }
    return std::nullopt;
}

void allocate(Pool &pool, const Assignment &assignment, const fleet::Resources &perTask)
{
    for (const int node : assignment) {
        allocate(pool, node, perTask);
    }
}

void release(Pool &pool, const Assignment &assignment, const fleet::Resources &perTask)
{
    for (const int node : assignment) {
        release(pool, node, perTask);
    }
}

}
