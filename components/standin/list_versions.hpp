#ifndef COMPONENTS_STANDIN_LIST_VERSIONS_HPP
#define COMPONENTS_STANDIN_LIST_VERSIONS_HPP

#include "components/fleet/time.hpp"
#include "components/platform/platform_list.hpp"

#include <vector>

namespace standin
{

/// Every version of a stand-in's list of instances and targets, oldest first, so that a lagging one can be shown.
struct ListVersions
{
    std::vector<platform::PlatformList> m_versions;

    bool operator==(const ListVersions &) const = default;
};

/// Puts a new version in force at `now`.
void addVersion(ListVersions &versions, platform::PlatformList list, fleet::TimePoint now);

/// The list as it stood at `then`; the first version where none is that old. Its m_asOf is `then`.
platform::PlatformList listAt(const ListVersions &versions, fleet::TimePoint then);

/// Adds an instance or replaces the entry of the same id.
void putInstance(platform::PlatformList &list, const platform::InstanceEntry &instance);

/// Marks the instance, worker or runner of this id as leaving or live. Returns false where there is none.
bool setLeaving(platform::PlatformList &list, const std::string &id, bool leaving);

/// Removes the instance, worker or runner of this id. Returns false where there is none.
bool removeEntry(platform::PlatformList &list, const std::string &id);

}

#endif
