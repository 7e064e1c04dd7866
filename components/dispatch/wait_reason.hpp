#ifndef COMPONENTS_DISPATCH_WAIT_REASON_HPP
#define COMPONENTS_DISPATCH_WAIT_REASON_HPP

#include <cstdint>

namespace dispatch
{

/// What keeps a step from being placed: the first of these that leaves too little room for it.
enum class WaitReason : std::uint8_t {
    /// Enough starts of the job, or of all jobs, are awaited, or enough runs are open.
    LaunchLimit,
    /// The account would exceed its maximum.
    AccountMaximum,
    /// No listed worker runs the service and has the label.
    NoWorker,
    /// The workers that may be used have too little free capacity.
    NoRoom,
    /// Workers with free capacity get no new runs for now: they failed, did not answer, or are in a partitioned zone.
    WorkersAvoided,
    /// The free capacity is beside serving tasks, which a best-effort task would slow down.
    BesideServing,
    /// The free capacity is reserved for other steps.
    Reserved,
    /// The advice service has permitted too few of the workers.
    NoTicket,
    /// All tasks have to be placed in one rack, and none has room for them.
    OneRack,
    /// None of the above.
    Unexplained,
};

}

#endif
