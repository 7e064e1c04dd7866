#ifndef COMPONENTS_PLATFORM_STANDIN_PLATFORM_STAND_IN_HPP
#define COMPONENTS_PLATFORM_STANDIN_PLATFORM_STAND_IN_HPP

#include "components/http/address.hpp"

#include <memory>

namespace platform_standin
{

struct Settings;

/// The users' platform on one machine: its store, workers, operators and the address that callers connect to, served by the
/// published protocol over the models of components/simulation. Tasks take as long as their callers estimated.
///
/// Control calls: `PUT /v1/operators/NAME` and `DELETE` of it set and drop what the operators wrote; `POST /v1/faults` with
/// `store` (`serves`, `busy` or `silent`), `cut` (ids of workers without a way to any instance) and `crash` (ids of workers that
/// are gone for good); `GET /v1/runs` lists every run that the workers saw, and `broken`, what no run may do.
class PlatformStandIn
{
public:
    /// Listens on all ports and serves at once.
    /// @throws http::ServerError where a port is taken.
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
