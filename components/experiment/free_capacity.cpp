#include "components/experiment/free_capacity.hpp"

#include <algorithm>
#include <map>

namespace experiment
{

namespace
{

using fleet::Adjacency;

/// Places the tasks on the workers of `group` in order. Returns false and changes nothing if they do not all fit.
bool packInto(std::vector<FreeWorker> &workers, const std::vector<std::size_t> &group, const fleet::Shape &shape)
{
    std::vector<std::size_t> chosen;
    for (const std::size_t index : group) {
        fleet::Resources left = workers[index].m_free;
        while (static_cast<int>(chosen.size()) < shape.m_tasks && shape.m_perTask.fitsIn(left)) {
            left = left - shape.m_perTask;
            chosen.push_back(index);
        }
    }
    if (static_cast<int>(chosen.size()) < shape.m_tasks) {
        return false;
    }
    for (const std::size_t index : chosen) {
        workers[index].m_free = workers[index].m_free - shape.m_perTask;
    }
    return true;
}

/// Groups of workers that may run one gang under this adjacency. Within a group, workers with the fewest free
/// accelerators come first.
std::vector<std::vector<std::size_t>> groups(const std::vector<FreeWorker> &workers, Adjacency adjacency)
{
    std::map<std::size_t, std::vector<std::size_t>> byKey;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const std::size_t key = adjacency == Adjacency::SameZone ? 0 : adjacency == Adjacency::SameRack ? workers[index].m_rack : index;
        byKey[key].push_back(index);
    }
    std::vector<std::vector<std::size_t>> result;
    for (auto &[key, group] : byKey) {
        std::stable_sort(group.begin(), group.end(), [&](std::size_t a, std::size_t b) {
            return workers[a].m_free.m_accelerators < workers[b].m_free.m_accelerators;
        });
        result.push_back(group);
    }
    return result;
}

bool pack(std::vector<FreeWorker> &workers, const fleet::Shape &shape)
{
    const auto candidates = groups(workers, shape.m_adjacency);
    return std::any_of(candidates.begin(), candidates.end(), [&](const std::vector<std::size_t> &group) {
        return packInto(workers, group, shape);
    });
}

}

std::int64_t freeAccelerators(const std::vector<FreeWorker> &workers)
{
    std::int64_t total = 0;
    for (const FreeWorker &worker : workers) {
        total += worker.m_free.m_accelerators;
    }
    return total;
}

std::int64_t unusableAccelerators(std::vector<FreeWorker> workers, std::vector<fleet::Shape> waiting)
{
    std::erase_if(waiting, [](const fleet::Shape &shape) {
        return shape.m_perTask.m_accelerators == 0;
    });
    std::stable_sort(waiting.begin(), waiting.end(), [](const fleet::Shape &a, const fleet::Shape &b) {
        return a.total().m_accelerators > b.total().m_accelerators;
    });
    bool allFit = true;
    for (const fleet::Shape &shape : waiting) {
        allFit = pack(workers, shape) && allFit;
    }
    return allFit ? 0 : freeAccelerators(workers);
}

std::int64_t largestRackGang(const std::vector<FreeWorker> &workers)
{
    std::map<std::size_t, std::int64_t> byRack;
    std::int64_t largest = 0;
    for (const FreeWorker &worker : workers) {
        byRack[worker.m_rack] += worker.m_free.m_accelerators;
        largest = std::max(largest, byRack[worker.m_rack]);
    }
    return largest;
}

}
