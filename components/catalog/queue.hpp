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

/// A queue of jobs. Callers address it by host name and path.
struct Queue
{
    fleet::QueueId m_id;
    std::string m_host;
    std::string m_pathPrefix;
    /// Service whose workers run the queue's tasks.
    fleet::ServiceId m_service;
    /// 0 is the highest priority and may preempt others.
    int m_priority = 0;
    /// Number of failed runs of one task at which the job fails.
    std::uint32_t m_maxAttempts = 1;
    /// A job's completion objective is m_stretch times the length of its critical path, plus m_slack.
    double m_stretch = 1;
    fleet::Duration m_slack {0};
    /// Maximum duration of a caller's request.
    fleet::Duration m_timeout {0};
    /// True if callers need no key.
    bool m_isPublic = false;
    std::optional<AdvicePolicy> m_advice;

    bool operator==(const Queue &) const = default;
};

}

#endif
