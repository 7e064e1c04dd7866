#include "components/placement/pool.hpp"

#include <algorithm>

namespace placement
{

namespace
{

std::int64_t quotient(std::int64_t free, std::int64_t perTask, std::int64_t limit)
{
    return perTask > 0 ? std::min(free / perTask, limit) : limit;
}

}

int addNode(Pool &pool, const fleet::Resources &capacity, int rack)
{
    const int index = static_cast<int>(pool.m_nodes.size());
    pool.m_nodes.push_back({capacity, capacity, rack, true});
    if (rack == static_cast<int>(pool.m_racks.size())) {
        pool.m_racks.emplace_back();
    }
    pool.m_racks[rack].push_back(index);
    return index;
}

void allocate(Pool &pool, int node, const fleet::Resources &amount)
{
    pool.m_nodes[node].m_free = pool.m_nodes[node].m_free - amount;
}

void release(Pool &pool, int node, const fleet::Resources &amount)
{
    pool.m_nodes[node].m_free = pool.m_nodes[node].m_free + amount;
}

int tasksThatFit(const Node &node, const fleet::Resources &perTask, int limit)
{
    if (!node.m_usable || !perTask.fitsIn(node.m_free)) {
        return 0;
    }
    std::int64_t count = limit;
    count = quotient(node.m_free.m_accelerators, perTask.m_accelerators, count);
    count = quotient(node.m_free.m_milliCores, perTask.m_milliCores, count);
    count = quotient(node.m_free.m_memoryMb, perTask.m_memoryMb, count);
    return static_cast<int>(count);
}

fleet::Resources componentwiseMin(const fleet::Resources &a, const fleet::Resources &b)
{
    return {std::min(a.m_milliCores, b.m_milliCores), std::min(a.m_memoryMb, b.m_memoryMb), std::min(a.m_accelerators, b.m_accelerators)};
}

}
