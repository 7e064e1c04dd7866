#ifndef COMPONENTS_STANDIN_LIST_VERSIONS_HPP
#define COMPONENTS_STANDIN_LIST_VERSIONS_HPP

#include "components/fleet/time.hpp"
#include "components/platform/platform_list.hpp"

#include <vector>

namespace standin
{

/// All versions of the list of instances, workers and runners, oldest first. Older versions are kept to simulate a lagging list.
struct ListVersions
{
    std::vector<platform::PlatformList> m_versions;

    bool operator==(const ListVersions &) const = default;
};

/// Adds a version that is valid from `now`.
void addVersion(ListVersions &versions, platform::PlatformList list, fleet::TimePoint now);

/// Returns the version valid at `then`, or the first version if none is that old. Its m_asOf is set to `then`.
platform::PlatformList listAt(const ListVersions &versions, fleet::TimePoint then);

/// Adds an instance or replaces the entry with the same id.
void putInstance(platform::PlatformList &list, const platform::InstanceEntry &instance);

/// Sets or clears the leaving flag of an instance, worker or runner. Returns false if there is none with this id.
bool setLeaving(platform::PlatformList &list, const std::string &id, bool leaving);

/// Removes an instance, worker or runner. Returns false if there is none with this id.
bool removeEntry(platform::PlatformList &list, const std::string &id);

}

#endif
