#ifndef COMPONENTS_API_REPLIES_HPP
#define COMPONENTS_API_REPLIES_HPP

#include "components/api/error_kind.hpp"
#include "components/api/job_view.hpp"
#include "components/api/report_document.hpp"
#include "components/api/request_view.hpp"
#include "components/api/status_view.hpp"
#include "components/configuration/change_result.hpp"
#include "components/configuration/configuration.hpp"

#include <string>
#include <variant>
#include <vector>

namespace api
{

/// A refused call.
struct Refusal
{
    ErrorKind m_kind = ErrorKind::Internal;
    /// Ends with the remedy.
    std::string m_message;

    bool operator==(const Refusal &) const = default;
};

struct Health
{
    /// False once the instance is stopping; the balancer then takes it out.
    bool m_isAcceptingCalls = true;
};

struct MetricsText
{
    std::string m_text;
};

/// The job is in the system's stream; it is not lost by any instance's end.
struct JobAccepted
{
    fleet::JobId m_job;
    fleet::ZoneId m_zone;
};

/// The cancellation is in the system's stream; the job ends soon unless it ended before.
struct CancelAccepted
{
    fleet::JobId m_job;
};

struct JobList
{
    std::vector<JobView> m_jobs;
};

struct RequestIds
{
    std::vector<fleet::RequestId> m_ids;
};

struct ConfigurationView
{
    configuration::Configuration m_configuration;
    fleet::TimePoint m_now;
};

/// An accepted change is in force at its version everywhere that reads the log.
struct ChangeAccepted
{
    configuration::ChangeResult m_result;
};

/// The log is down: the zone is out at this instance and wherever the news is spread, and the record follows.
struct ZoneOutProvisional
{
    fleet::ZoneId m_zone;
    /// An instance of that zone has confirmed that it starts nothing more.
    bool m_inForce = false;
};

using Reply = std::variant<Refusal,
                           Health,
                           MetricsText,
                           JobAccepted,
                           CancelAccepted,
                           JobView,
                           JobList,
                           RequestIds,
                           RequestView,
                           ConfigurationView,
                           ChangeAccepted,
                           ZoneOutProvisional,
                           StatusView,
                           ReportDocument>;

}

#endif
