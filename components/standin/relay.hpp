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

/// Passes TCP connections and datagrams on to their targets, with faults, for tests of real processes.
/// Traffic has a thread of its own. Datagrams go one way: peers answer to each other's listed address.
class Relay
{
public:
    /// `seed` decides which datagrams are dropped, duplicated and reordered.
    explicit Relay(std::uint32_t seed);
    ~Relay();

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Adds a route for TCP and UDP alike, on one free port of `host`. A datagram or connection is from that one of
    /// `callers` whose name comes first in its bytes.
    /// @return where callers reach the target through the relay.
    http::Address add(const std::string &name, const std::string &host, const http::Address &target, std::vector<std::string> callers = {});

    /// Returns false where there is no route of this name.
    bool setFaults(const std::string &name, const RelayFaults &faults);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

}

#endif
