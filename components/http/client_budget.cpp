#include "components/http/client_budget.hpp"

#include "components/http/choose_closings.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace http
{

namespace
{

/// Part of a share that is freed beyond the shortage, so that the connections are not examined again for each read.
constexpr std::size_t extraFraction = 16;
/// Part of a share by which the connections that are closing may exceed it. Beyond that, connections that grow are refused.
constexpr std::size_t overshootFraction = 4;
/// Connections that were asked to close and may still be open. Each is closed as soon as its strand runs.
constexpr std::size_t maxClosing = 64;

std::size_t indexOf(ClientKind kind)
{
    return static_cast<std::size_t>(kind);
}

}

ClientBudget::ClientBudget(const ClientBudgetSettings &settings, Observer observer)
    : m_settings(settings)
    , m_observer(std::move(observer))
{
}

std::optional<std::uint64_t> ClientBudget::open(ClientKind kind, SteadyTime now, AskToClose askToClose)
{
    const std::size_t limit = m_settings.m_shares[indexOf(kind)].m_connections;
    std::vector<AskToClose> toClose;
    std::optional<std::uint64_t> number;
    {
        const std::lock_guard lock(m_mutex);
        Part &part = m_parts[indexOf(kind)];
        bool hasRoom = part.m_entries.size() < limit;
        if (!hasRoom && part.m_entries.size() < limit + std::min(maxClosing, limit)) {
            const std::vector<ConnectionUse> uses = openUses(part);
            if (uses.size() >= limit) {
                toClose = markClosing(part, chooseClosingsForCount(uses, uses.size() - limit + 1));
            }
            hasRoom = uses.size() < limit || !toClose.empty();
        }
        if (hasRoom) {
            number = m_nextNumber++;
            part.m_entries.emplace(*number, Entry {{*number, ConnectionPhase::Idle, 0, false, now}, std::move(askToClose), false});
        }
    }
    for (const AskToClose &ask : toClose) {
        report(kind, CloseCause::Connections);
        ask(CloseCause::Connections);
    }
    if (!number) {
        report(kind, CloseCause::Connections);
    }
    return number;
}

bool ClientBudget::update(ClientKind kind, std::uint64_t number, ConnectionPhase phase, std::size_t heldBytes, bool isProgress, SteadyTime now)
{
    const std::size_t limit = m_settings.m_shares[indexOf(kind)].m_bytes;
    std::vector<AskToClose> toClose;
    bool isAllowed = true;
    {
        const std::lock_guard lock(m_mutex);
        Part &part = m_parts[indexOf(kind)];
        const auto found = part.m_entries.find(number);
        if (found == part.m_entries.end()) {
            return false;
        }
        Entry &entry = found->second;
        const bool isGrowth = heldBytes > entry.m_use.m_heldBytes;
        part.m_heldBytes += heldBytes;
        part.m_heldBytes -= entry.m_use.m_heldBytes;
        entry.m_use.m_isServed = entry.m_use.m_isServed || entry.m_use.m_phase == ConnectionPhase::Writing;
        entry.m_use.m_phase = phase;
        entry.m_use.m_heldBytes = heldBytes;
        if (isProgress) {
            entry.m_use.m_progressedAt = now;
        }
        if (phase == ConnectionPhase::Handling) {
            // The request reached the handler before the connection was asked to close.
            entry.m_isClosing = false;
        }
        if (isGrowth && phase != ConnectionPhase::Handling && part.m_heldBytes > limit) {
            const std::vector<ConnectionUse> uses = openUses(part);
            std::size_t held = 0;
            for (const ConnectionUse &use : uses) {
                held += use.m_heldBytes;
            }
            std::vector<std::uint64_t> chosen;
            if (held > limit) {
                chosen = chooseClosingsForBytes(uses, held - limit + limit / extraFraction, now);
                isAllowed = std::erase(chosen, number) == 0 && !chosen.empty();
            }
            isAllowed = isAllowed && part.m_heldBytes - limit <= limit / overshootFraction;
            // A response to a request that the handler had is written in any case.
            isAllowed = isAllowed || phase == ConnectionPhase::Writing;
            entry.m_isClosing = entry.m_isClosing || !isAllowed;
            toClose = markClosing(part, chosen);
        }
    }
    for (const AskToClose &ask : toClose) {
        report(kind, CloseCause::Memory);
        ask(CloseCause::Memory);
    }
    if (!isAllowed) {
        report(kind, CloseCause::Memory);
    }
    return isAllowed;
}

void ClientBudget::close(ClientKind kind, std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    Part &part = m_parts[indexOf(kind)];
    const auto found = part.m_entries.find(number);
    if (found != part.m_entries.end()) {
        part.m_heldBytes -= found->second.m_use.m_heldBytes;
        part.m_entries.erase(found);
    }
}

void ClientBudget::report(ClientKind kind, CloseCause cause) const
{
    if (m_observer) {
        m_observer(kind, cause);
    }
}

std::size_t ClientBudget::heldBytes(ClientKind kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_parts[indexOf(kind)].m_heldBytes;
}

std::size_t ClientBudget::connections(ClientKind kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_parts[indexOf(kind)].m_entries.size();
}

std::vector<ConnectionUse> ClientBudget::openUses(const Part &part)
{
    std::vector<ConnectionUse> uses;
    for (const auto &[number, entry] : part.m_entries) {
        if (!entry.m_isClosing) {
            uses.push_back(entry.m_use);
        }
    }
    return uses;
}

std::vector<ClientBudget::AskToClose> ClientBudget::markClosing(Part &part, const std::vector<std::uint64_t> &numbers)
{
    std::vector<AskToClose> toClose;
    for (const std::uint64_t number : numbers) {
        Entry &entry = part.m_entries.at(number);
        entry.m_isClosing = true;
        toClose.push_back(entry.m_askToClose);
    }
    return toClose;
}

}
