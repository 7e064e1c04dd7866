#include "components/dispatch/expectations.hpp"

#include "components/dispatch/candidate.hpp"
#include "components/dispatch/context.hpp"
#include "components/dispatch/progress.hpp"
#include "components/dispatch/rooms.hpp"

#include <algorithm>
#include <map>

namespace dispatch
{

namespace
{

/// One more task fits on the worker after this time.
struct Opening
{
    fleet::Duration m_wait {0};
    Room *m_room = nullptr;
};

/// When each further task fits, as the runs on the worker end one after the other.
void addOpenings(const Context &context, const Candidate &candidate, Room &room, std::vector<Opening> &openings)
{
    std::multimap<fleet::Duration, fleet::Resources> ends;
    for (const jobs::RunId &id : room.m_worker->m_runs) {
        const RunState &run = context.m_state.m_runs.at(id);
        ends.emplace(run.m_stopWanted ? fleet::Duration(0) : remainingTime(context, id, run), run.m_booked);
    }
    fleet::Resources free = freeFor(candidate, room);
    const auto wanted = static_cast<std::uint32_t>(candidate.m_tasks.size());
    std::uint32_t slots = std::min(wanted, slotsOn(candidate, room, free));
    openings.insert(openings.end(), slots, {fleet::Duration(0), &room});
    for (const auto &[wait, booked] : ends) {
        free = free + booked;
        const std::uint32_t now = std::min(wanted, slotsOn(candidate, room, free));
        if (now > slots) {
            openings.insert(openings.end(), now - slots, {wait, &room});
            slots = now;
        }
    }
}

std::optional<Expectation> takeSoonest(std::vector<Opening> openings, std::size_t wanted)
{
    if (openings.size() < wanted) {
        return std::nullopt;
    }
    std::stable_sort(openings.begin(), openings.end(), [](const Opening &a, const Opening &b) {
        return a.m_wait < b.m_wait;
    });
    Expectation expectation;
    for (std::size_t i = 0; i < wanted; ++i) {
        ++expectation.m_tasks[openings[i].m_room];
        expectation.m_wait = openings[i].m_wait;
    }
    return expectation;
}

}

std::optional<Expectation> expectRoom(const Context &context, const Candidate &candidate, Rooms &rooms)
{
    const bool wantsOneRack = candidate.m_wantsOneRack;
    std::map<fleet::RackId, std::vector<Opening>> openings;
    for (Room &room : rooms) {
        if (mayRun(candidate, *room.m_worker)) {
            addOpenings(context, candidate, room, openings[wantsOneRack ? room.m_worker->m_registration.m_rack : fleet::RackId()]);
        }
    }
    std::optional<Expectation> best;
    for (const auto &[rack, rackOpenings] : openings) {
        std::optional<Expectation> expectation = takeSoonest(rackOpenings, candidate.m_tasks.size());
        if (expectation && (!best || expectation->m_wait < best->m_wait)) {
            best = std::move(expectation);
        }
    }
    return best;
}

}
