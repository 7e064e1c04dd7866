#include "components/settings/problem.hpp"

namespace settings
{

std::string describe(const Problem &problem)
{
    return problem.m_file + ":" + std::to_string(problem.m_line) + ": " + problem.m_key + ": " + problem.m_message + "; " + problem.m_remedy;
}

}
