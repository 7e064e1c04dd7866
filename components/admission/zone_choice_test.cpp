#include "components/admission/zone_choice.hpp"

#include <criterion/criterion.h>

namespace
{

admission::ZoneSummary zone(const char *name, std::int64_t freeAccelerators)
{
    admission::ZoneSummary summary;
    summary.m_zone = fleet::ZoneId(name);
    summary.m_capacity = {1'000, 1'000, 64};
    summary.m_free = {1'000, 1'000, freeAccelerators};
    summary.m_largestFreeRack = summary.m_free;
    summary.m_largestFreeWorker = {1'000, 1'000, 8};
    summary.m_largestRack = summary.m_capacity;
    summary.m_largestWorker = {1'000, 1'000, 8};
    return summary;
}

struct Fixture
{
    fleet::JobSpec m_job;
    admission::ZoneSummary m_a = zone("a", 32);
    admission::ZoneSummary m_b = zone("b", 16);

    Fixture()
    {
        m_job.m_account = fleet::AccountId("studio");
        m_job.m_shape = {2, {0, 0, 8}, fleet::Adjacency::SameRack};
    }

    std::string chosen() const
    {
        const auto zoneId = admission::chooseZone(m_job, {m_a, m_b});
        return zoneId ? zoneId->value() : "none";
    }
};

}

Test(zoneChoice, jobThatNamesItsZone_chooseZone_keepsIt)
{
    Fixture fixture;
    fixture.m_job.m_zone = fleet::ZoneId("elsewhere");
    cr_assert_eq(fixture.chosen(), "elsewhere");
}

Test(zoneChoice, bothZonesCanStart_chooseZone_takesTheTighterFit)
{
    const Fixture fixture;
    cr_assert_eq(fixture.chosen(), "b");
}

Test(zoneChoice, onlyOneZoneCanStart_chooseZone_takesIt)
{
    Fixture fixture;
    fixture.m_b.m_largestFreeRack.m_accelerators = 8;
    cr_assert_eq(fixture.chosen(), "a");
}

Test(zoneChoice, unfilledGuarantee_chooseZone_hasPriorityOverFit)
{
    Fixture fixture;
    fixture.m_a.m_unfilledGuarantees = {{fixture.m_job.m_account, fixture.m_job.m_shape}};
    cr_assert_eq(fixture.chosen(), "a");
}

Test(zoneChoice, guaranteeOfAnotherAccount_chooseZone_isIgnored)
{
    Fixture fixture;
    fixture.m_a.m_unfilledGuarantees = {{fleet::AccountId("other"), fixture.m_job.m_shape}};
    cr_assert_eq(fixture.chosen(), "b");
}

Test(zoneChoice, zoneTakenOut_chooseZone_avoidsIt)
{
    Fixture fixture;
    fixture.m_b.m_out = true;
    cr_assert_eq(fixture.chosen(), "a");
    fixture.m_a.m_out = true;
    cr_assert_eq(fixture.chosen(), "none");
}

Test(zoneChoice, queuesEverywhere_chooseZone_takesTheLowestLoad)
{
    Fixture fixture;
    fixture.m_a.m_queued = {0, 0, 200};
    fixture.m_b.m_queued = {0, 0, 8};
    cr_assert_eq(fixture.chosen(), "b");
}
