#ifndef COMPONENTS_PLATFORM_STANDIN_PLATFORM_STAND_IN_HPP
#define COMPONENTS_PLATFORM_STANDIN_PLATFORM_STAND_IN_HPP

#include "components/http/address.hpp"

#include <memory>

namespace platform_standin
{

struct Settings;

/// Test double of the users' platform on one machine: the store, the workers, the operators' topic and the ingress for callers.
/// It speaks the published protocol and is backed by the models of components/simulation. Tasks run as long as estimated in the
/// first step of their job.
///
/// Control calls:
/// - `PUT /v1/operators/KEY` and `DELETE /v1/operators/KEY` set and delete a key of the operators' topic.
/// - `PUT /v1/entries/KEY` and `DELETE /v1/entries/KEY` write any bytes as an entry of the worker list, as another writer may, and
///   remove an entry. KEY is percent-encoded; without it, the key is empty.
/// - `POST /v1/faults` injects faults: `store` (`serves`, `busy` or `silent`), `cut` (ids of workers that no instance can reach),
///   `crash` (ids of workers that crash for good) and `reborn` (ids of workers that crash and restart).
/// - `GET /v1/runs` lists every run that was started on a worker, and in `broken` the violations of the rules for runs.
class PlatformStandIn
{
public:
    /// Listens on all ports and starts to serve.
    /// @throws http::ServerError if a port is in use.
    explicit PlatformStandIn(const Settings &settings);
    ~PlatformStandIn();

    PlatformStandIn(const PlatformStandIn &) = delete;
    PlatformStandIn &operator=(const PlatformStandIn &) = delete;

    http::Address store() const;
    http::Address ingress() const;
    http::Address control() const;

private:
    class Core;
    std::shared_ptr<Core> m_core;
};

}

#endif
