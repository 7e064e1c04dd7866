#ifndef COMPONENTS_EXPERIMENT_TABLE_HPP
#define COMPONENTS_EXPERIMENT_TABLE_HPP

#include "components/experiment/comparison.hpp"

#include <iosfwd>

namespace experiment
{

/// Writes mean and spread of every measure, completion times per account and the violations as plain text.
void writeTable(std::ostream &out, const Summary &summary);

/// Writes both policies side by side, with ratios, checks and violations.
void writeTable(std::ostream &out, const Comparison &comparison);

}

#endif
