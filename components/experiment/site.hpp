#ifndef COMPONENTS_EXPERIMENT_SITE_HPP
#define COMPONENTS_EXPERIMENT_SITE_HPP

#include "components/experiment/job_class.hpp"
#include "components/fleet/account_policy.hpp"
#include "components/fleet/worker_info.hpp"

#include <string>
#include <vector>

namespace experiment
{

/// A deployment to simulate: its workers, accounts and workload mix.
struct Site
{
    std::string m_name;
    std::vector<fleet::ZoneId> m_zones;
    std::vector<fleet::WorkerInfo> m_workers;
    std::vector<fleet::AccountPolicy> m_accounts;
    std::vector<JobClass> m_classes;
    /// Processor time and memory that a task requests per accelerator. A task without accelerators requests this amount once.
    fleet::Resources m_perAccelerator;
    /// Requested accelerator time as a share of the total accelerator time.
    double m_offeredLoad = 0.0;
    /// Minimum number of accelerators of a large job.
    int m_minLargeJobAccelerators = 16;
};

/// Three availability zones, 50 workers of 32 cores, 64 GB and 8 accelerators, 8 to a rack, 4 accounts.
Site swaralaya();

/// Four availability zones, 50 workers of 130 cores, 260 GB and 8 accelerators, 6 to a rack, 4 accounts.
Site kurume();

/// Eleven availability zones, 550 workers, 960 accelerators, 34 accounts, about 1,800 jobs a day.
Site twoYear();

/// Returns the site named `swaralaya`, `kurume` or `two-year`. Throws std::invalid_argument for any other name.
Site findSite(const std::string &name);

/// Total number of accelerators of all workers.
std::int64_t totalAccelerators(const Site &site);

}

#endif
