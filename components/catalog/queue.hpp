#ifndef COMPONENTS_CATALOG_QUEUE_HPP
#define COMPONENTS_CATALOG_QUEUE_HPP

#include "components/catalog/advice_policy.hpp"
#include "components/fleet/identifiers.hpp"
#include "components/fleet/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace catalog
{

/// A queue of jobs that callers reach under a host name and a path.
struct Queue
{
    fleet::QueueId m_id;
    std::string m_host;
    std::string m_pathPrefix;
    /// Workers of this service run the queue's tasks.
    fleet::ServiceId m_service;
    /// 0 goes first and may stop others.
    int m_priority = 0;
    /// Runs of one task that may end in failure.
    std::uint32_t m_maxAttempts = 1;
    /// A job's completion objective is m_stretch times its longest chain of work, and m_slack more.
    double m_stretch = 1;
    fleet::Duration m_slack {0};
    /// How long a caller's request may take.
    fleet::Duration m_timeout {0};
    /// No key is asked for.
    bool m_isPublic = false;
    std::optional<AdvicePolicy> m_advice;

    bool operator==(const Queue &) const = default;
};

}

#endif
