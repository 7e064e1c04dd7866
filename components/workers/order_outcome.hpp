#ifndef COMPONENTS_WORKERS_ORDER_OUTCOME_HPP
#define COMPONENTS_WORKERS_ORDER_OUTCOME_HPP

#include <cstdint>

namespace workers
{

/// Outcome of an order to start or stop a run, as far as it is known.
enum class OrderOutcome : std::uint8_t {
    /// Carried out by this order or by an earlier copy of it.
    Done,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has already stopped or ended this run or a later run of the task.
    RunIsOver,
    /// The lease had expired before the order arrived. Nothing was done.
    LeaseExpired,
    /// The worker has too little free capacity for the task. Nothing was done.
    NoCapacity,
    /// The ticket of the advice service is not valid. Nothing was done.
    BadTicket,
    /// The worker reports that it is unhealthy. Nothing was done.
    Unhealthy,
    /// Another incarnation or another worker answered at the address.
    OtherIncarnation,
    /// The worker could not parse the order.
    Malformed,
    /// No byte of the order left this process.
    NotSent,
    /// No answer. The order may still be carried out seconds later.
    Unknown,
};

}

#endif
