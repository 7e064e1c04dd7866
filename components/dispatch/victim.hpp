#ifndef COMPONENTS_DISPATCH_VICTIM_HPP
#define COMPONENTS_DISPATCH_VICTIM_HPP

#include "components/jobs/run_id.hpp"

#include <cstdint>

namespace dispatch
{

struct RunState;

/// A run that could be stopped, with the work that would be lost.
struct Victim
{
    jobs::RunId m_run;
    const RunState *m_state = nullptr;
    /// Core-milliseconds.
    std::int64_t m_loss = 0;
};

}

#endif
