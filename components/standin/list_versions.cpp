#include "components/standin/list_versions.hpp"

#include <algorithm>
#include <utility>

namespace standin
{

namespace
{

const std::string &idOf(const platform::WorkerEntry &entry)
{
    return entry.m_info.m_id.value();
}

template<class Entry>
const std::string &idOf(const Entry &entry)
{
    return entry.m_id.value();
}

template<class Entry>
bool setLeavingIn(std::vector<Entry> &entries, const std::string &id, bool leaving)
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&id](const Entry &entry) {
        return idOf(entry) == id;
    });
    if (found == entries.end()) {
        return false;
    }
    found->m_leaving = leaving;
    return true;
}

template<class Entry>
bool removeFrom(std::vector<Entry> &entries, const std::string &id)
{
    return std::erase_if(entries,
                         [&id](const Entry &entry) {
                             return idOf(entry) == id;
                         })
        > 0;
}

}

void addVersion(ListVersions &versions, platform::PlatformList list, fleet::TimePoint now)
{
    list.m_asOf = now;
    versions.m_versions.push_back(std::move(list));
}

platform::PlatformList listAt(const ListVersions &versions, fleet::TimePoint then)
{
    platform::PlatformList list;
    if (!versions.m_versions.empty()) {
        list = versions.m_versions.front();
    }
    for (const auto &version : versions.m_versions) {
        if (version.m_asOf <= then) {
            list = version;
        }
    }
    list.m_asOf = then;
    return list;
}

void putInstance(platform::PlatformList &list, const platform::InstanceEntry &instance)
{
    removeFrom(list.m_instances, instance.m_id.value());
    list.m_instances.push_back(instance);
}

bool setLeaving(platform::PlatformList &list, const std::string &id, bool leaving)
{
    return setLeavingIn(list.m_instances, id, leaving) || setLeavingIn(list.m_workers, id, leaving) || setLeavingIn(list.m_runners, id, leaving);
}

bool removeEntry(platform::PlatformList &list, const std::string &id)
{
    return removeFrom(list.m_instances, id) || removeFrom(list.m_workers, id) || removeFrom(list.m_runners, id);
}

}
