#include "components/experiment/site.hpp"

#include <stdexcept>

namespace experiment
{

namespace
{

using fleet::Adjacency;
using fleet::Urgency;
using std::chrono::hours;
using std::chrono::minutes;

struct FleetPlan
{
    int m_zones = 0;
    int m_workers = 0;
    int m_workersPerRack = 0;
    /// One rack in this many has workers with accelerators, up to m_acceleratorWorkers workers.
    int m_acceleratorEvery = 1;
    int m_acceleratorWorkers = 0;
    fleet::Resources m_capacity;
};

void addFleet(Site &site, const FleetPlan &plan)
{
    for (int zone = 0; zone < plan.m_zones; ++zone) {
        site.m_zones.emplace_back("zone-" + std::to_string(zone));
    }
    int withAccelerators = 0;
    for (int worker = 0; worker < plan.m_workers; ++worker) {
        const int zone = worker % plan.m_zones;
        const int place = worker / plan.m_zones;
        const int rack = place / plan.m_workersPerRack;
        fleet::WorkerInfo info;
        info.m_id = fleet::WorkerId("worker-" + std::to_string(worker));
        info.m_zone = site.m_zones[static_cast<std::size_t>(zone)];
        info.m_rack = fleet::RackId("rack-" + std::to_string(zone) + "-" + std::to_string(rack));
        info.m_capacity = plan.m_capacity;
        const bool accelerated = rack % plan.m_acceleratorEvery == 0 && withAccelerators < plan.m_acceleratorWorkers;
        if (accelerated) {
            ++withAccelerators;
        } else {
            info.m_capacity.m_accelerators = 0;
        }
        site.m_workers.push_back(info);
    }
}

fleet::Shape gangOf(const Site &site, int tasks, int acceleratorsPerTask)
{
    return {tasks, site.m_perAccelerator * acceleratorsPerTask + fleet::Resources {0, 0, acceleratorsPerTask}, Adjacency::SameRack};
}

/// The account's guarantee applies in zone `index` modulo the number of zones, or in the next zone while that one is out.
void addAccount(Site &site, int index, const fleet::Shape &guarantee, int count, std::int64_t quotaAccelerators, int urgentPerHour)
{
    const std::size_t zone = static_cast<std::size_t>(index) % site.m_zones.size();
    const std::size_t next = (zone + 1) % site.m_zones.size();
    fleet::AccountPolicy policy;
    policy.m_account = fleet::AccountId("account-" + std::to_string(index));
    policy.m_guarantees = {fleet::GuaranteedShape {guarantee, count, {site.m_zones[zone], site.m_zones[next]}}};
    policy.m_quota = {100'000'000, 100'000'000, quotaAccelerators};
    policy.m_urgentPerHour = urgentPerHour;
    site.m_accounts.push_back(policy);
}

}

Site swaralaya()
{
    Site site;
    site.m_name = "swaralaya";
    site.m_perAccelerator = {4'000, 8'000, 0};
    site.m_offeredLoad = 0.9;
    addFleet(site, {3, 50, 8, 1, 50, {32'000, 64'000, 8}});
    for (int account = 0; account < 4; ++account) {
        const bool large = account < 2;
        addAccount(site, account, gangOf(site, large ? 4 : 2, 8), 1, 128, large ? 20 : 10);
    }
    site.m_classes = {
        {"preview", 58, {1}, {1, 2}, Adjacency::SameZone, minutes(6), Urgency::Normal, 0.0},
        {"slot-model", 10, {1}, {1}, Adjacency::SameZone, minutes(3), Urgency::Urgent, 0.0},
        {"cleanup", 20, {1, 2}, {1, 2, 4}, Adjacency::SameZone, minutes(40), Urgency::Background, 0.9},
        {"dubbing", 12, {1, 2, 2, 4, 6}, {4, 8}, Adjacency::SameRack, minutes(80), Urgency::Normal, 0.8},
    };
    return site;
}

Site kurume()
{
    Site site;
    site.m_name = "kurume";
    site.m_perAccelerator = {16'000, 32'000, 0};
    site.m_offeredLoad = 0.85;
    addFleet(site, {4, 50, 6, 1, 50, {130'000, 260'000, 8}});
    for (int account = 0; account < 4; ++account) {
        const bool large = account < 2;
        addAccount(site, account, gangOf(site, large ? 4 : 2, 8), 1, 128, large ? 20 : 10);
    }
    site.m_classes = {
        {"preview", 45, {1}, {1, 2, 3}, Adjacency::SameZone, minutes(10), Urgency::Normal, 0.0},
        {"separation", 8, {1}, {1}, Adjacency::SameZone, minutes(5), Urgency::Urgent, 0.0},
        {"archive", 20, {1, 2, 3}, {1, 2}, Adjacency::SameZone, minutes(60), Urgency::Background, 0.9},
        {"festival", 27, {2, 3, 4, 6}, {4, 8}, Adjacency::SameRack, minutes(90), Urgency::Normal, 0.8},
    };
    return site;
}

Site twoYear()
{
    Site site;
    site.m_name = "two-year";
    site.m_perAccelerator = {2'000, 4'000, 0};
    site.m_offeredLoad = 0.85;
    addFleet(site, {11, 550, 8, 4, 120, {32'000, 64'000, 8}});
    for (int account = 0; account < 34; ++account) {
        const bool large = account % 8 == 0;
        addAccount(site, account, gangOf(site, large ? 2 : 1, 8), 1, large ? 192 : 96, 10);
    }
    site.m_classes = {
        {"transform", 60, {8, 16, 24, 32, 48}, {0}, Adjacency::SameZone, hours(3), Urgency::Normal, 0.7},
        {"urgent-render", 6, {1, 2}, {1, 2}, Adjacency::SameZone, minutes(20), Urgency::Urgent, 0.3},
        {"cleanup", 12, {1, 2, 4}, {1, 2}, Adjacency::SameZone, hours(3), Urgency::Background, 0.9},
        {"training", 20, {1, 2, 4}, {2, 4, 8}, Adjacency::SameRack, hours(2), Urgency::Normal, 0.8},
        {"wide-training", 2, {32, 64}, {1}, Adjacency::SameZone, hours(2), Urgency::Normal, 0.9},
    };
    return site;
}

Site findSite(const std::string &name)
{
    if (name == "swaralaya") {
        return swaralaya();
    }
    if (name == "kurume") {
        return kurume();
    }
    if (name == "two-year") {
        return twoYear();
    }
    throw std::invalid_argument("unknown size '" + name + "'; choose swaralaya, kurume or two-year");
}

std::int64_t totalAccelerators(const Site &site)
{
    std::int64_t total = 0;
    for (const fleet::WorkerInfo &worker : site.m_workers) {
        total += worker.m_capacity.m_accelerators;
    }
    return total;
}

}
