#include "components/api/status_json.hpp"

#include "components/api/status_view.hpp"

#include <boost/json.hpp>

namespace api
{

namespace
{

boost::json::value write(const ZoneStatus &zone)
{
    return {{"zone", zone.m_zone.value()},
            {"out", zone.m_out},
            {"provisional", zone.m_provisional},
            {"startsAllowed", zone.m_startsAllowed},
            {"holder", zone.m_holder.value()},
            {"liveWorkers", zone.m_liveWorkers},
            {"accelerators", zone.m_accelerators}};
}

boost::json::value write(const AccountStatus &account)
{
    return {{"account", account.m_account.value()},
            {"guaranteed", account.m_guaranteed},
            {"used", account.m_used},
            {"borrowed", account.m_borrowed},
            {"runningJobs", account.m_runningJobs},
            {"waitingJobs", account.m_waitingJobs}};
}

boost::json::value write(const WaitingJob &job)
{
    return {{"id", job.m_job.value()}, {"account", job.m_account.value()}, {"zone", job.m_zone.value()}, {"why", job.m_reason}};
}

boost::json::value write(const InstanceStatus &instance)
{
    return {{"instance", instance.m_instance.value()}, {"zone", instance.m_zone.value()}, {"state", instance.m_state}};
}

boost::json::value write(const QuarantinedWorker &worker)
{
    return {{"worker", worker.m_worker.value()}, {"why", worker.m_reason}};
}

template<class T>
boost::json::array writeAll(const std::vector<T> &values)
{
    boost::json::array array;
    for (const T &value : values) {
        array.push_back(write(value));
    }
    return array;
}

}

boost::json::value toJson(const StatusView &status)
{
    return {{"instance", status.m_instance.value()},
            {"zone", status.m_zone.value()},
            {"at", fleet::toMilliseconds(status.m_at)},
            {"configurationVersion", status.m_configurationVersion.m_value},
            {"logReachable", status.m_logReachable},
            {"logLagMs", status.m_logLag.count()},
            {"stopping", status.m_stopping},
            {"zones", writeAll(status.m_zones)},
            {"accounts", writeAll(status.m_accounts)},
            {"waiting", writeAll(status.m_waiting)},
            {"instances", writeAll(status.m_instances)},
            {"quarantined", writeAll(status.m_quarantined)}};
}

}
