#include "components/experiment/setting_override.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <vector>

namespace experiment
{

namespace
{

using scheduler::Settings;

fleet::Duration fromSeconds(double seconds)
{
    return fleet::Duration(std::llround(seconds * 1'000.0));
}

struct NamedSetting
{
    const char *m_name;
    void (*m_set)(Settings &settings, double value);
};

const std::vector<NamedSetting> &namedSettings()
{
    static const std::vector<NamedSetting> all {
        {"lease",
         [](Settings &settings, double value) {
             settings.m_leaseLength = fromSeconds(value);
         }},
        {"renew",
         [](Settings &settings, double value) {
             settings.m_renewInterval = fromSeconds(value);
         }},
        {"checkpoint-interval",
         [](Settings &settings, double value) {
             settings.m_checkpointInterval = fromSeconds(value);
         }},
        {"reservations",
         [](Settings &settings, double value) {
             settings.m_maxReservations = static_cast<int>(value);
         }},
        {"reservation-patience",
         [](Settings &settings, double value) {
             settings.m_reservationGracePeriod = fromSeconds(value);
         }},
        {"repack-gain",
         [](Settings &settings, double value) {
             settings.m_repackGain = value;
         }},
        {"bad-job-workers",
         [](Settings &settings, double value) {
             settings.m_health.m_badJobWorkers = static_cast<int>(value);
         }},
        {"attribution",
         [](Settings &settings, double value) {
             settings.m_health.m_attribution = static_cast<health::Attribution>(value);
         }},
    };
    return all;
}

std::string knownNames()
{
    std::string names;
    for (const NamedSetting &setting : namedSettings()) {
        names += names.empty() ? "" : ", ";
        names += setting.m_name;
    }
    return names;
}

double number(const std::string &text)
{
    std::size_t used = 0;
    double value = 0.0;
    try {
        value = std::stod(text, &used);
    } catch (const std::logic_error &) {
        used = 0;
    }
    if (used == 0 || used != text.size()) {
        throw std::invalid_argument("'" + text + "' is not a number; pass the setting as name=number");
    }
    return value;
}

}

void overrideSetting(Settings &settings, const std::string &assignment)
{
    const std::size_t equals = assignment.find('=');
    const std::string name = assignment.substr(0, equals);
    const auto found = std::find_if(namedSettings().begin(), namedSettings().end(), [&name](const NamedSetting &setting) {
        return name == setting.m_name;
    });
    if (equals == std::string::npos || found == namedSettings().end()) {
        throw std::invalid_argument("unknown setting '" + name + "'; use name=number with one of " + knownNames());
    }
    found->m_set(settings, number(assignment.substr(equals + 1)));
}

}
