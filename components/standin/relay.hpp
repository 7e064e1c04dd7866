#ifndef COMPONENTS_STANDIN_RELAY_HPP
#define COMPONENTS_STANDIN_RELAY_HPP

#include "components/http/address.hpp"
#include "components/standin/relay_faults.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace standin
{

/// Forwards TCP connections and UDP datagrams and injects network faults, for tests with real processes.
/// Forwarding runs on its own thread. Datagrams are forwarded in one direction only, because peers send replies to each
/// other's listed address.
class Relay
{
public:
    /// `seed` determines which datagrams are dropped, duplicated and reordered.
    explicit Relay(std::uint32_t seed);
    ~Relay();

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Adds a route for TCP and UDP on one free port of `host`. A connection or datagram is attributed to the one of
    /// `callers` whose name comes first in its bytes.
    /// @return address at which callers reach `target` through the relay.
    http::Address add(const std::string &name, const std::string &host, const http::Address &target, std::vector<std::string> callers = {});

    /// Replaces the faults of a route. Returns false if there is no route with this name.
    bool setFaults(const std::string &name, const RelayFaults &faults);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}

#endif
