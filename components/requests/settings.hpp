#ifndef COMPONENTS_REQUESTS_SETTINGS_HPP
#define COMPONENTS_REQUESTS_SETTINGS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace requests
{

/// Limits of request dispatching.
struct Settings
{
    /// Finished requests are kept this long for callers that ask for the answer again.
    fleet::Duration m_retention = std::chrono::minutes(30);
    std::size_t m_maxEntries = 200'000;
    /// Memory for the stored requests and answers, in bytes.
    std::size_t m_maxStoredBytes = std::size_t {96} << 20;
    std::size_t m_maxQueuedPerAccount = 5'000;
    /// An attempt at an idempotent request times out after this long and is retried on another runner.
    fleet::Duration m_attemptTimeout = std::chrono::seconds(10);
    /// A second, hedged attempt at an idempotent request starts after this long without an answer; 0 disables hedging.
    fleet::Duration m_hedgeAfter {600};
    /// Retries allowed for each first attempt, counted for each account and for each runner.
    double m_retryRatio = 0.1;
    /// Maximum number of retries that an account or a runner can accumulate.
    double m_retryBurst = 10.0;
    int m_maxAttempts = 4;
    /// A runner that fails is avoided this long, doubled with each further consecutive failure up to m_maxAvoidance.
    fleet::Duration m_initialAvoidance = std::chrono::seconds(1);
    fleet::Duration m_maxAvoidance = std::chrono::seconds(60);
    /// Load reports older than this are ignored.
    fleet::Duration m_loadFreshness = std::chrono::seconds(5);
    /// An attempt at a request that is not idempotent is closed after this long without an answer, with an unknown
    /// outcome.
    fleet::Duration m_nonIdempotentAttemptTimeout = std::chrono::minutes(10);

    bool operator==(const Settings &) const = default;
};

}

#endif
