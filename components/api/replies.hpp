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
    /// Names the remedy at its end.
    std::string m_message;

    bool operator==(const Refusal &) const = default;
};

struct Health
{
    /// False once the instance is stopping, so that the load balancer removes it.
    bool m_isAcceptingCalls = true;
};

struct MetricsText
{
    std::string m_text;
};

/// The job is recorded in the system's stream of the log, so it is not lost when an instance ends.
struct JobAccepted
{
    fleet::JobId m_job;
    fleet::ZoneId m_zone;
};

/// The cancellation is recorded in the system's stream of the log. The job ends soon unless it has already ended.
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

/// The change is in force, with its version, at every instance that has read it from the log.
struct ChangeAccepted
{
    configuration::ChangeResult m_result;
};

/// The log is unreachable: the zone is out at this instance and at the instances that its gossip has reached. The change
/// is recorded once the log is reachable again.
struct ZoneOutProvisional
{
    fleet::ZoneId m_zone;
    /// True if an instance of the zone has confirmed that it starts no more tasks.
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
