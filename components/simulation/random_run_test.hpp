#ifndef COMPONENTS_SIMULATION_RANDOM_RUN_TEST_HPP
#define COMPONENTS_SIMULATION_RANDOM_RUN_TEST_HPP

#include "components/simulation/world_fixture_test.hpp"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace simulation::test
{

/// One fault or call of a random run. The kind and the two numbers determine what it does.
struct Action
{
    int m_kind = 0;
    unsigned m_first = 0;
    unsigned m_second = 0;
    /// Time until the next action, in milliseconds.
    unsigned m_pause = 0;
};

/// Prints the action in the report of a failed property.
std::ostream &operator<<(std::ostream &out, const Action &action);

constexpr int actionKinds = 18;
/// Kinds from actionKinds on, which anyActions() does not draw so that its seeds keep their meaning.
constexpr int workerActionKinds = 30;

/// A job of a random run.
struct RandomJob
{
    int m_call = -1;
    bool m_isCancelled = false;
    std::vector<jobs::StepSpec> m_steps;
};

/// Performs the actions, ends all faults, and runs until the jobs should be done. Returns the first violation; empty if there was none.
/// The seed replaces that of the settings.
std::string performActions(unsigned seed, const std::vector<Action> &actions, const WorldSettings &settings = {});
/// Returns actions of any kind, for a property.
std::vector<Action> anyActions();
/// Returns actions of which half are troubles of workers that last for a while, so that they overlap.
std::vector<Action> workerTroubles();

}

#endif
