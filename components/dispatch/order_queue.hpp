#ifndef COMPONENTS_DISPATCH_ORDER_QUEUE_HPP
#define COMPONENTS_DISPATCH_ORDER_QUEUE_HPP

#include "components/jobs/run_id.hpp"

#include <map>
#include <set>

namespace dispatch
{

/// Runs of one priority on one worker for which an order may have to be sent, by job. Does not contain those whose order is under way.
struct OrderQueue
{
    std::map<jobs::JobId, std::set<jobs::RunId>> m_runs;
    /// The job whose turn is next.
    jobs::JobId m_nextJob;

    bool operator==(const OrderQueue &) const = default;
};

}

#endif
