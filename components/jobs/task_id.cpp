#include "components/jobs/task_id.hpp"

namespace jobs
{

std::string toString(const TaskId &task)
{
    return toString(task.m_step.m_job) + '/' + std::to_string(task.m_step.m_occurrence) + '/' + std::to_string(task.m_step.m_step) + '/'
        + std::to_string(task.m_index);
}

}
