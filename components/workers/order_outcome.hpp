#ifndef COMPONENTS_WORKERS_ORDER_OUTCOME_HPP
#define COMPONENTS_WORKERS_ORDER_OUTCOME_HPP

#include <cstdint>

namespace workers
{

/// What is known of an order to start or stop a run.
enum class OrderOutcome : std::uint8_t {
    /// Carried out, now or before.
    Done,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker stopped or ended this run or a later one of the task.
    RunIsOver,
    /// The lease had lapsed before the order arrived. Nothing was done.
    LeaseExpired,
    /// No room for the task. Nothing was done.
    NoCapacity,
    /// The ticket of the advice service is not valid. Nothing was done.
    BadTicket,
    /// The worker is not well. Nothing was done.
    Unhealthy,
    /// Another life answered at the address.
    OtherIncarnation,
    /// The worker cannot read the order.
    Malformed,
    /// No byte of the order left this process.
    NotSent,
    /// No answer; the order may be carried out seconds later.
    Unknown,
};

}

#endif
