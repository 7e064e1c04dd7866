#include "components/catalog_check/check.hpp"
#include "components/catalog_check/compare.hpp"

#include "components/catalog/catalog.hpp"

#include <chrono>
#include <string>
#include <vector>

#include <criterion/criterion.h>

namespace
{

using namespace std::chrono_literals;
using catalog_check::DifferenceKind;
using catalog_check::Field;
using catalog_check::Place;
using catalog_check::Section;

catalog::Queue makeQueue(const std::string &id, const std::string &prefix)
{
    catalog::Queue queue;
    queue.m_id = fleet::QueueId(id);
    queue.m_host = "h";
    queue.m_pathPrefix = prefix;
    queue.m_service = fleet::ServiceId("s");
    queue.m_timeout = 3s;
    return queue;
}

catalog::Catalog makeSoundCatalog()
{
    catalog::Catalog catalog;
    catalog.m_version = 7;
    catalog.m_queues = {makeQueue("urgent", "/u/"), makeQueue("other", "/u/other/"), makeQueue("last", "/l/")};
    catalog.m_queues[2].m_priority = 2;
    catalog.m_services = {{fleet::ServiceId("s")}, {fleet::ServiceId("t")}};
    catalog.m_accounts = {{fleet::AccountId("a"), {"k", "l"}, 8}, {fleet::AccountId("b"), {"m"}, 0}};
    return catalog;
}

}

/// Guards against false alarms: a longer prefix on the same host is reached, although a shorter one comes first.
Test(catalog_check, soundCatalog_hasNoFindings)
{
    cr_assert(catalog_check::check(makeSoundCatalog()).empty());
}

/// Each fault would otherwise show only once the catalog is in force, by refused calls or jobs that never start.
Test(catalog_check, faults_areFoundAtTheirPlaces)
{
    catalog::Catalog catalog = makeSoundCatalog();
    std::vector<catalog::Queue> &queues = catalog.m_queues;
    queues.insert(queues.end(), {makeQueue("p", "p/"), makeQueue("r", "/r?x=/"), makeQueue("v", "/v/")});
    queues[1].m_id = queues[0].m_id;
    queues[2].m_pathPrefix = queues[0].m_pathPrefix;
    queues[5].m_service = fleet::ServiceId("none");
    queues[5].m_stretch = 0;
    queues[5].m_timeout = 0ms;
    for (catalog::Queue &queue : queues) {
        queue.m_priority = 2;
    }
    catalog.m_version = 0;
    catalog.m_services[1].m_id = catalog.m_services[0].m_id;
    catalog.m_accounts[1] = {catalog.m_accounts[0].m_id, {"l"}, 0};
    catalog.m_accounts.insert(catalog.m_accounts.end(), {{fleet::AccountId("c"), {}, 0}, {fleet::AccountId("d"), {""}, 0}});
    catalog.m_limits.m_maxBodyBytes = 0;
    const std::vector<Place> expected {
        {Section::Catalog, 0, Field::Version},
        {Section::Queues, 1, Field::Id},
        {Section::Queues, 2, Field::PathPrefix},
        {Section::Queues, 3, Field::PathPrefix},
        {Section::Queues, 4, Field::PathPrefix},
        {Section::Queues, 5, Field::Service},
        {Section::Queues, 5, Field::Stretch},
        {Section::Queues, 5, Field::Timeout},
        {Section::Services, 1, Field::Id},
        {Section::Accounts, 0, Field::GuaranteedAccelerators},
        {Section::Accounts, 1, Field::Id},
        {Section::Accounts, 1, Field::Keys},
        {Section::Accounts, 2, Field::Keys},
        {Section::Accounts, 3, Field::Keys},
        {Section::Limits, 0, Field::MaxBodyBytes},
    };
    std::vector<Place> places;
    for (const catalog_check::Finding &finding : catalog_check::check(catalog)) {
        places.push_back(finding.m_place);
    }
    cr_assert(places == expected);
}

/// A guarantee above the maximum cannot be met, and an account without a weight takes part in the sharing as soon as another has one.
Test(catalog_check, maximaAndWeights_contradictionsAreFound)
{
    catalog::Catalog catalog = makeSoundCatalog();
    catalog::Account &account = catalog.m_accounts[0];
    account.m_maximum = {1, 1, 8};
    catalog.m_accounts[1].m_maximum.m_accelerators = 1;
    cr_assert(catalog_check::check(catalog).empty());
    account.m_maximum.m_accelerators = 7;
    account.m_weight = 2;
    const auto findings = catalog_check::check(catalog);
    cr_assert_eq(findings.size(), 2U);
    cr_assert(findings[0].m_place == (Place {Section::Accounts, 0, Field::MaximumAccelerators}));
    cr_assert(findings[1].m_place == (Place {Section::Accounts, 1, Field::Weight}));
    account.m_maximum.m_accelerators = 0;
    catalog.m_accounts[1].m_weight = 1;
    cr_assert(catalog_check::check(catalog).empty());
}

/// Weights were cut to six digits in the texts, so that both sides of a difference could look equal.
Test(catalog_check, differencesOfMaximaAndWeights_nameEachChange)
{
    catalog::Catalog inForce = makeSoundCatalog();
    inForce.m_accounts[0].m_maximum = {4000, 0, 8};
    inForce.m_accounts[1].m_weight = 123456788;
    catalog::Catalog next = inForce;
    next.m_accounts[0].m_maximum = {5000, 64, 0};
    next.m_accounts[0].m_weight = 2.5;
    next.m_accounts[1].m_weight = 123456789;
    const std::vector<catalog_check::Difference> expected {
        {DifferenceKind::Changed, Section::Accounts, "a", Field::MaximumMilliCores, "4000", "5000"},
        {DifferenceKind::Changed, Section::Accounts, "a", Field::MaximumMemory, "no limit", "64"},
        {DifferenceKind::Changed, Section::Accounts, "a", Field::MaximumAccelerators, "8", "no limit"},
        {DifferenceKind::Changed, Section::Accounts, "a", Field::Weight, "none", "2.5"},
        {DifferenceKind::Changed, Section::Accounts, "b", Field::Weight, "123456788", "123456789"},
    };
    cr_assert(catalog_check::compare(inForce, next) == expected);
}

/// A catalog whose version is not higher never takes effect, and no error shows it.
Test(catalog_check, versionThatIsNotHigher_isFound)
{
    const catalog::Catalog inForce = makeSoundCatalog();
    catalog::Catalog next = inForce;
    cr_assert_eq(catalog_check::checkAgainst(inForce, next).size(), 1U);
    ++next.m_version;
    cr_assert(catalog_check::checkAgainst(inForce, next).empty());
}

Test(catalog_check, differences_nameEachChangeAndNoKey)
{
    const catalog::Catalog inForce = makeSoundCatalog();
    cr_assert(catalog_check::compare(inForce, inForce).empty());
    catalog::Catalog next = inForce;
    next.m_queues[0].m_timeout = 5s;
    next.m_queues[1].m_advice = catalog::AdvicePolicy {};
    next.m_services.pop_back();
    next.m_accounts[0].m_keys = {"l", "n"};
    next.m_accounts.push_back({fleet::AccountId("c"), {"o"}, 0});
    next.m_limits.m_maxBodyBytes = 1;
    const std::vector<catalog_check::Difference> expected {
        {DifferenceKind::Changed, Section::Queues, "urgent", Field::Timeout, "3000", "5000"},
        {DifferenceKind::Changed, Section::Queues, "other", Field::Advice, "false", "true"},
        {DifferenceKind::Removed, Section::Services, "t", Field::Entry, "", ""},
        {DifferenceKind::Changed, Section::Accounts, "a", Field::Keys, "2 keys", "2 keys, 1 added and 1 withdrawn"},
        {DifferenceKind::Added, Section::Accounts, "c", Field::Entry, "", ""},
        {DifferenceKind::Changed, Section::Limits, "", Field::MaxBodyBytes, "262144", "1"},
    };
    cr_assert(catalog_check::compare(inForce, next) == expected);
}
