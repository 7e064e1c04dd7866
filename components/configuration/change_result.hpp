#ifndef COMPONENTS_CONFIGURATION_CHANGE_RESULT_HPP
#define COMPONENTS_CONFIGURATION_CHANGE_RESULT_HPP

#include "components/configuration/identifiers.hpp"
#include "components/configuration/version.hpp"

#include <string>

namespace configuration
{

/// What became of one change, the same at every reader.
struct ChangeResult
{
    ChangeId m_id;
    bool m_accepted = false;
    /// Accepted: the version that the change made. Rejected: the version in force at its offset.
    Version m_version;
    /// Rejected only: why, and what to do about it.
    std::string m_reason;

    bool operator==(const ChangeResult &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_id, m_accepted, m_version, m_reason);
    }
};

}

#endif
