#include "components/catalog_check/compare.hpp"

#include "components/catalog/catalog.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <sstream>
#include <utility>

namespace catalog_check
{

namespace
{

std::string toText(const std::string &value)
{
    return value;
}

std::string toText(bool value)
{
    return value ? "true" : "false";
}

template<class Tag>
std::string toText(const fleet::Identifier<Tag> &id)
{
    return id.value();
}

std::string toText(fleet::Duration duration)
{
    return std::to_string(duration.count());
}

/// The shortest text that reads back as the same number, so that different numbers have different texts.
std::string toText(double number)
{
    std::array<char, 32> text {};
    return {text.data(), std::to_chars(text.data(), text.data() + text.size(), number).ptr};
}

std::string toText(const std::optional<double> &weight)
{
    return weight ? toText(*weight) : "none";
}

template<class Number>
std::string toText(Number number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

/// Adds the differences of one entry, or of a section that is not a list.
class EntryComparison
{
public:
    EntryComparison(std::vector<Difference> &differences, Section section, std::string id)
        : m_differences(differences)
        , m_section(section)
        , m_id(std::move(id))
    {
    }

    template<class Value>
    void compareField(Field field, const Value &before, const Value &after)
    {
        if (before != after) {
            add(field, toText(before), toText(after));
        }
    }

    /// Compares maxima of one resource, of which 0 means no limit.
    void compareMaximum(Field field, std::int64_t before, std::int64_t after)
    {
        const auto describe = [](std::int64_t maximum) {
            return maximum == 0 ? "no limit" : toText(maximum);
        };
        compareField(field, describe(before), describe(after));
    }

    void add(Field field, std::string before, std::string after)
    {
        m_differences.push_back({DifferenceKind::Changed, m_section, m_id, field, std::move(before), std::move(after)});
    }

private:
    std::vector<Difference> &m_differences;
    Section m_section;
    std::string m_id;
};

void compareAdvice(EntryComparison &comparison, const std::optional<catalog::AdvicePolicy> &before, const std::optional<catalog::AdvicePolicy> &after)
{
    if (!before || !after) {
        comparison.compareField(Field::Advice, before.has_value(), after.has_value());
        return;
    }
    comparison.compareField(Field::AdviceTimePerQuestion, before->m_timePerQuestion, after->m_timePerQuestion);
    comparison.compareField(Field::AdviceTimePerWorker, before->m_timePerWorker, after->m_timePerWorker);
    comparison.compareField(Field::AdviceValidity, before->m_validFor, after->m_validFor);
}

void compareEntries(EntryComparison &comparison, const catalog::Queue &before, const catalog::Queue &after)
{
    comparison.compareField(Field::Host, before.m_host, after.m_host);
    comparison.compareField(Field::PathPrefix, before.m_pathPrefix, after.m_pathPrefix);
    comparison.compareField(Field::Service, before.m_service, after.m_service);
    comparison.compareField(Field::Priority, before.m_priority, after.m_priority);
    comparison.compareField(Field::MaxAttempts, before.m_maxAttempts, after.m_maxAttempts);
    comparison.compareField(Field::Stretch, before.m_stretch, after.m_stretch);
    comparison.compareField(Field::Slack, before.m_slack, after.m_slack);
    comparison.compareField(Field::Timeout, before.m_timeout, after.m_timeout);
    comparison.compareField(Field::IsPublic, before.m_isPublic, after.m_isPublic);
    compareAdvice(comparison, before.m_advice, after.m_advice);
}

void compareEntries(EntryComparison &comparison, const catalog::Service &before, const catalog::Service &after)
{
    comparison.compareField(Field::RejectsOverload, before.m_rejectsOverload, after.m_rejectsOverload);
    comparison.compareField(Field::IsSpare, before.m_isSpare, after.m_isSpare);
}

void compareEntries(EntryComparison &comparison, const catalog::Account &before, const catalog::Account &after)
{
    const std::set<std::string> keysBefore(before.m_keys.begin(), before.m_keys.end());
    const std::set<std::string> keysAfter(after.m_keys.begin(), after.m_keys.end());
    const auto countMissing = [](const std::set<std::string> &keys, const std::set<std::string> &others) {
        return std::to_string(std::count_if(keys.begin(), keys.end(), [&](const std::string &key) {
            return !others.contains(key);
        }));
    };
    if (keysBefore != keysAfter) {
        comparison.add(Field::Keys,
                       std::to_string(keysBefore.size()) + " keys",
                       std::to_string(keysAfter.size()) + " keys, " + countMissing(keysAfter, keysBefore) + " added and " + countMissing(keysBefore, keysAfter)
                           + " withdrawn");
    }
    comparison.compareField(Field::GuaranteedAccelerators, before.m_guaranteedAccelerators, after.m_guaranteedAccelerators);
    comparison.compareMaximum(Field::MaximumMilliCores, before.m_maximum.m_milliCores, after.m_maximum.m_milliCores);
    comparison.compareMaximum(Field::MaximumMemory, before.m_maximum.m_memoryMb, after.m_maximum.m_memoryMb);
    comparison.compareMaximum(Field::MaximumAccelerators, before.m_maximum.m_accelerators, after.m_maximum.m_accelerators);
    comparison.compareField(Field::Weight, before.m_weight, after.m_weight);
}

template<class Item>
const Item *findFirst(const std::vector<Item> &items, const Item &item)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item &other) {
        return other.m_id == item.m_id;
    });
    return found == items.end() ? nullptr : &*found;
}

template<class Item>
void compareLists(std::vector<Difference> &differences, Section section, const std::vector<Item> &before, const std::vector<Item> &after)
{
    for (const Item &item : before) {
        if (findFirst(before, item) == &item && findFirst(after, item) == nullptr) {
            differences.push_back({DifferenceKind::Removed, section, item.m_id.value(), Field::Entry, {}, {}});
        }
    }
    for (const Item &item : after) {
        if (findFirst(after, item) != &item) {
            continue;
        }
        if (const Item *known = findFirst(before, item)) {
            EntryComparison comparison(differences, section, item.m_id.value());
            compareEntries(comparison, *known, item);
        } else {
            differences.push_back({DifferenceKind::Added, section, item.m_id.value(), Field::Entry, {}, {}});
        }
    }
}

}

std::vector<Difference> compare(const catalog::Catalog &inForce, const catalog::Catalog &next)
{
    std::vector<Difference> differences;
    EntryComparison(differences, Section::Catalog, {}).compareField(Field::Version, inForce.m_version, next.m_version);
    compareLists(differences, Section::Queues, inForce.m_queues, next.m_queues);
    compareLists(differences, Section::Services, inForce.m_services, next.m_services);
    compareLists(differences, Section::Accounts, inForce.m_accounts, next.m_accounts);
    EntryComparison(differences, Section::Limits, {}).compareField(Field::MaxBodyBytes, inForce.m_limits.m_maxBodyBytes, next.m_limits.m_maxBodyBytes);
    return differences;
}

}
