#include "components/experiment/table.hpp"

#include <iomanip>
#include <map>
#include <ostream>

namespace experiment
{

namespace
{

constexpr int nameWidth = 40;
constexpr int valueWidth = 13;
constexpr std::size_t maxViolationsListed = 20;

std::string label(const Measure &measure)
{
    const std::string unit = measure.m_unit;
    return unit.empty() ? measure.m_name : std::string(measure.m_name) + " [" + unit + "]";
}

void writeHeading(std::ostream &out, const Summary &summary)
{
    out << summary.m_site << ", " << summary.m_days << " days, fault scale " << summary.m_faultScale << ", " << summary.m_runs.size() << " seeds from "
        << summary.m_runs.front().m_seed << '\n';
}

void writeViolations(std::ostream &out, const Summary &summary)
{
    out << "violations (" << summary.m_policy << "): " << violationCount(summary) << '\n';
    std::size_t listed = 0;
    for (const RunStats &stats : summary.m_runs) {
        for (const Violation &violation : stats.m_violations) {
            if (listed++ < maxViolationsListed) {
                out << "  seed " << stats.m_seed << ": " << describe(violation) << '\n';
            }
        }
    }
}

/// Means of each account's statistics over the seeds.
std::map<fleet::AccountId, AccountStats> accountMeans(const Summary &summary)
{
    std::map<fleet::AccountId, AccountStats> means;
    const double runs = static_cast<double>(summary.m_runs.size());
    for (const RunStats &stats : summary.m_runs) {
        for (const AccountStats &account : stats.m_accounts) {
            AccountStats &mean = means[account.m_account];
            mean.m_jobs += account.m_jobs / runs;
            mean.m_completionMedian += account.m_completionMedian / runs;
            mean.m_completionP95 += account.m_completionP95 / runs;
        }
    }
    return means;
}

void writeAccounts(std::ostream &out, const Summary &summary)
{
    out << '\n'
        << std::left << std::setw(nameWidth) << "account" << std::right << std::setw(valueWidth) << "jobs" << std::setw(valueWidth) << "median s"
        << std::setw(valueWidth) << "p95 s" << '\n';
    for (const auto &[id, account] : accountMeans(summary)) {
        out << std::left << std::setw(nameWidth) << id.value() << std::right << std::setw(valueWidth) << account.m_jobs << std::setw(valueWidth)
            << account.m_completionMedian << std::setw(valueWidth) << account.m_completionP95 << '\n';
    }
}

}

void writeTable(std::ostream &out, const Summary &summary)
{
    out << std::fixed << std::setprecision(3);
    writeHeading(out, summary);
    out << std::left << std::setw(nameWidth) << summary.m_policy << std::right << std::setw(valueWidth) << "mean" << std::setw(valueWidth) << "deviation"
        << std::setw(valueWidth) << "lowest" << std::setw(valueWidth) << "highest" << '\n';
    for (std::size_t index = 0; index < measures().size(); ++index) {
        const Spread &spread = summary.m_spreads[index];
        out << std::left << std::setw(nameWidth) << label(measures()[index]) << std::right << std::setw(valueWidth) << spread.m_mean << std::setw(valueWidth)
            << spread.m_deviation << std::setw(valueWidth) << spread.m_lowest << std::setw(valueWidth) << spread.m_highest << '\n';
    }
    writeAccounts(out, summary);
    writeViolations(out, summary);
}

void writeTable(std::ostream &out, const Comparison &comparison)
{
    out << std::fixed << std::setprecision(3);
    writeHeading(out, comparison.m_present);
    out << std::left << std::setw(nameWidth) << "mean (deviation)" << std::right << std::setw(valueWidth) << "baseline" << std::setw(valueWidth) << ""
        << std::setw(valueWidth) << "present" << std::setw(valueWidth) << "" << std::setw(valueWidth) << "ratio" << '\n';
    for (std::size_t index = 0; index < measures().size(); ++index) {
        const Spread &baseline = comparison.m_baseline.m_spreads[index];
        const Spread &present = comparison.m_present.m_spreads[index];
        out << std::left << std::setw(nameWidth) << label(measures()[index]) << std::right << std::setw(valueWidth) << baseline.m_mean << std::setw(valueWidth)
            << baseline.m_deviation << std::setw(valueWidth) << present.m_mean << std::setw(valueWidth) << present.m_deviation << std::setw(valueWidth)
            << ratioOf(comparison, index) << '\n';
    }
    for (const AcceptanceCheck &check : comparison.m_checks) {
        out << (check.isPassed() ? "holds:  " : "MISSED: ") << check.m_name << " = " << check.m_measured << ", limit " << check.m_limit << '\n';
    }
    writeViolations(out, comparison.m_baseline);
    writeViolations(out, comparison.m_present);
}

}
