#ifndef COMPONENTS_HTTP_CLIENT_BUDGET_HPP
#define COMPONENTS_HTTP_CLIENT_BUDGET_HPP

#include "components/http/client_budget_settings.hpp"
#include "components/http/close_cause.hpp"
#include "components/http/connection_use.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace http
{

/// Accounts for the bytes and connections that the clients of one process use, over all its servers. Thread-safe.
///
/// When a share is exhausted, connections are asked to close. They count until they have closed, but up to a quarter of the share is
/// granted to others before that, since they are closed as soon as their strands run.
class ClientBudget
{
public:
    /// Asks a connection to close. Called on any thread without locks held; must not block.
    using AskToClose = std::function<void(CloseCause)>;
    /// Called when a client is refused or closed, with the limit that was the cause. On any thread; must not block.
    using Observer = std::function<void(ClientKind, CloseCause)>;

    explicit ClientBudget(const ClientBudgetSettings &settings, Observer observer = {});

    ClientBudget(const ClientBudget &) = delete;
    ClientBudget &operator=(const ClientBudget &) = delete;

    /// Adds a connection. Returns its number, or nothing if there is no room and none that can be closed for it.
    std::optional<std::uint64_t> open(ClientKind kind, SteadyTime now, AskToClose askToClose);

    /// Records what a connection holds now.
    /// @return False if the connection itself has to be closed, since it is the one to close first or nothing else can be freed. Its use is
    /// recorded all the same.
    bool update(ClientKind kind, std::uint64_t number, ConnectionPhase phase, std::size_t heldBytes, bool isProgress, SteadyTime now);

    /// Removes a connection and what it holds.
    void close(ClientKind kind, std::uint64_t number);

    void report(ClientKind kind, CloseCause cause) const;

    std::size_t heldBytes(ClientKind kind) const;
    std::size_t connections(ClientKind kind) const;

private:
    struct Entry
    {
        ConnectionUse m_use;
        AskToClose m_askToClose;
        bool m_isClosing = false;
    };

    struct Part
    {
        std::map<std::uint64_t, Entry> m_entries;
        std::size_t m_heldBytes = 0;
    };

    static std::vector<ConnectionUse> openUses(const Part &part);
    static std::vector<AskToClose> markClosing(Part &part, const std::vector<std::uint64_t> &numbers);

    const ClientBudgetSettings m_settings;
    const Observer m_observer;
    mutable std::mutex m_mutex;
    std::uint64_t m_nextNumber = 1;
    std::array<Part, clientKinds> m_parts;
};

}

#endif
