#ifndef COMPONENTS_REQUESTS_SETTINGS_HPP
#define COMPONENTS_REQUESTS_SETTINGS_HPP

#include "components/fleet/time.hpp"

#include <cstddef>

namespace requests
{

/// Limits of the request slice.
struct Settings
{
    /// Finished requests are kept this long for callers that ask again.
    fleet::Duration m_retention = std::chrono::minutes(30);
    std::size_t m_maxEntries = 200'000;
    /// Bodies of requests and answers kept, in bytes.
    std::size_t m_maxStoredBytes = std::size_t {96} << 20;
    std::size_t m_maxQueuedPerAccount = 5'000;
    /// An attempt at an idempotent request that has no answer after this long is given up and retried elsewhere.
    fleet::Duration m_attemptTimeout = std::chrono::seconds(10);
    /// A second attempt at an idempotent request starts after this long without an answer; 0 for never.
    fleet::Duration m_hedgeAfter {600};
    /// Retries allowed for each first attempt, by account and by runner.
    double m_retryRatio = 0.1;
    /// Most retries that an account or a runner can save up.
    double m_retryBurst = 10.0;
    int m_maxAttempts = 4;
    /// A runner that fails is avoided this long, doubled with each further failure in a row up to m_avoidMax.
    fleet::Duration m_initialAvoidance = std::chrono::seconds(1);
    fleet::Duration m_maxAvoidance = std::chrono::seconds(60);
    /// A load report older than this is not relied on.
    fleet::Duration m_loadFreshness = std::chrono::seconds(5);
    /// An open attempt at a request that nobody waits for any more is forgotten after this long.
    fleet::Duration m_nonIdempotentAttemptTimeout = std::chrono::minutes(10);

    bool operator==(const Settings &) const = default;
};

}

#endif
