#ifndef COMPONENTS_DISPATCH_AWAITED_STARTS_HPP
#define COMPONENTS_DISPATCH_AWAITED_STARTS_HPP

#include "components/jobs/job_id.hpp"

#include <cstddef>
#include <map>

namespace dispatch
{

/// Numbers of runs, by job, that were launched and whose first start order is not answered yet. They are limited, since callers' requests wait
/// behind the handling of the answers.
class AwaitedStarts
{
public:
    static constexpr std::size_t limit = 1024;
    /// A gang is launched as a whole. Of one that is wider than this only so many members count, so that it leaves room for others.
    static constexpr std::size_t mostCountedOfAJob = limit / 8;

    void add(jobs::JobId job);
    void remove(jobs::JobId job);
    std::size_t of(jobs::JobId job) const;
    /// Sum over the jobs, of which each counts at most mostCountedOfAJob.
    std::size_t counted() const;

    bool operator==(const AwaitedStarts &) const = default;

private:
    std::map<jobs::JobId, std::size_t> m_byJob;
    std::size_t m_counted = 0;
};

}

#endif
