#include "work/fault_evidence.h"

#include <algorithm>

namespace fulmar::work {

namespace {

// Bounds the memory of a job that fails again and again.
constexpr std::size_t keptFailures = 16;
constexpr auto recently = std::chrono::minutes(10);

} // namespace

void FaultEvidence::onSuccess(const JobId& job, const VmId& worker, TimePoint now)
{
    auto& workerFacts = m_workers[worker];
    m_lastSuccess = now;
    workerFacts.failures.clear();
    workerFacts.successes.add(job, now);
    workerFacts.touched = now;
    auto& jobFacts = m_jobs[job];
    jobFacts.failures.clear();
    jobFacts.tasks.clear();
    jobFacts.successes.add(worker, now);
    jobFacts.touched = now;
}

void FaultEvidence::onFailure(const TaskId& task, const JobId& job, const VmId& worker, TimePoint now)
{
    auto& workerFacts = m_workers[worker];
    workerFacts.touched = now;
    if (workerFacts.failures.size() < keptFailures)
        workerFacts.failures.insert_or_assign(job, now);
    auto& jobFacts = m_jobs[job];
    jobFacts.touched = now;
    if (jobFacts.failures.size() < keptFailures)
        jobFacts.failures.insert_or_assign(worker, now);
    if (jobFacts.tasks.size() < keptFailures)
        jobFacts.tasks.insert(task);
}

std::size_t FaultEvidence::against(const VmId& worker) const
{
    auto position = m_workers.find(worker);
    if (position == m_workers.end())
        return 0;
    const auto& failures = position->second.failures;
    return std::count_if(failures.begin(), failures.end(),
        [&](const auto& failure) { return speaksAgainstWorker(worker, failure.first, failure.second); });
}

std::size_t FaultEvidence::unresolved(const VmId& worker) const
{
    auto position = m_workers.find(worker);
    if (position == m_workers.end())
        return 0;
    const auto& failures = position->second.failures;
    return std::count_if(
        failures.begin(), failures.end(), [&](const auto& failure) { return against(failure.first) == 0; });
}

bool FaultEvidence::hasSucceeded(const VmId& worker) const
{
    auto position = m_workers.find(worker);
    return position != m_workers.end() && position->second.successes.newest;
}

std::size_t FaultEvidence::against(const JobId& job) const
{
    auto position = m_jobs.find(job);
    if (position == m_jobs.end())
        return 0;
    const auto& failures = position->second.failures;
    return std::count_if(failures.begin(), failures.end(),
        [&](const auto& failure) { return speaksAgainstJob(job, failure.first, failure.second); });
}

std::size_t FaultEvidence::failedTasks(const JobId& job) const
{
    auto position = m_jobs.find(job);
    return position == m_jobs.end() ? 0 : position->second.tasks.size();
}

bool FaultEvidence::speaksAgainstJob(const JobId& job, const VmId& worker, TimePoint failedAt) const
{
    auto position = m_workers.find(worker);
    if (position == m_workers.end())
        return false;
    auto success = position->second.successes.besides(job);
    return success && isTelling(*success, failedAt);
}

bool FaultEvidence::speaksAgainstWorker(const VmId& worker, const JobId& job, TimePoint failedAt) const
{
    auto position = m_jobs.find(job);
    if (position == m_jobs.end())
        return false;
    auto success = position->second.successes.besides(worker);
    return success && isTelling(*success, failedAt);
}

// Either proven since, or proven not long before while things still succeed somewhere.
bool FaultEvidence::isTelling(TimePoint success, TimePoint failedAt) const
{
    return success > failedAt || (failedAt - success < recently && m_lastSuccess > failedAt);
}

void FaultEvidence::forget(TimePoint before)
{
    std::erase_if(m_workers, [&](const auto& entry) { return entry.second.touched < before; });
    std::erase_if(m_jobs, [&](const auto& entry) { return entry.second.touched < before; });
}

} // namespace fulmar::work
