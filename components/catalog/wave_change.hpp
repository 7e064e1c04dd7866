#ifndef COMPONENTS_CATALOG_WAVE_CHANGE_HPP
#define COMPONENTS_CATALOG_WAVE_CHANGE_HPP

#include "components/catalog/upkeep_wave.hpp"

#include <optional>
#include <string>

namespace catalog
{

/// An upkeep wave was requested or withdrawn.
struct WaveChange
{
    std::string m_key;
    std::optional<UpkeepWave> m_wave;

    bool operator==(const WaveChange &) const = default;
};

}

#endif
