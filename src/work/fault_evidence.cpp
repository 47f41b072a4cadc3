#include "work/fault_evidence.h"

#include <algorithm>

namespace fulmar::work {

namespace {

// Bounds the memory used for a job or worker with repeated failures.
constexpr std::size_t maxKeptFailures = 16;
constexpr auto recentWindow = std::chrono::minutes(10);

} // namespace

void FaultEvidence::onSuccess(const JobId& job, const VmId& worker, TimePoint now)
{
    auto& workerHistory = m_workers[worker];
    m_lastSuccess = now;
    workerHistory.failures.clear();
    workerHistory.successes.add(job, now);
    workerHistory.updatedAt = now;
    auto& jobHistory = m_jobs[job];
    jobHistory.failures.clear();
    jobHistory.tasks.clear();
    jobHistory.successes.add(worker, now);
    jobHistory.updatedAt = now;
}

void FaultEvidence::onFailure(const TaskId& task, const JobId& job, const VmId& worker, TimePoint now)
{
    auto& workerHistory = m_workers[worker];
    workerHistory.updatedAt = now;
    if (workerHistory.failures.size() < maxKeptFailures)
        workerHistory.failures.insert_or_assign(job, now);
    auto& jobHistory = m_jobs[job];
    jobHistory.updatedAt = now;
    if (jobHistory.failures.size() < maxKeptFailures)
        jobHistory.failures.insert_or_assign(worker, now);
    if (jobHistory.tasks.size() < maxKeptFailures)
        jobHistory.tasks.insert(task);
}

std::size_t FaultEvidence::countJobsImplicatingWorker(const VmId& worker) const
{
    auto position = m_workers.find(worker);
    if (position == m_workers.end())
        return 0;
    const auto& failures = position->second.failures;
    return std::count_if(failures.begin(), failures.end(),
        [&](const auto& failure) { return implicatesWorker(worker, failure.first, failure.second); });
}

std::size_t FaultEvidence::unresolvedJobs(const VmId& worker) const
{
    auto position = m_workers.find(worker);
    if (position == m_workers.end())
        return 0;
    const auto& failures = position->second.failures;
    return std::count_if(failures.begin(), failures.end(),
        [&](const auto& failure) { return countWorkersImplicatingJob(failure.first) == 0; });
}

bool FaultEvidence::hasSucceeded(const VmId& worker) const
{
    auto position = m_workers.find(worker);
    return position != m_workers.end() && position->second.successes.newest;
}

std::size_t FaultEvidence::countWorkersImplicatingJob(const JobId& job) const
{
    auto position = m_jobs.find(job);
    if (position == m_jobs.end())
        return 0;
    const auto& failures = position->second.failures;
    return std::count_if(failures.begin(), failures.end(),
        [&](const auto& failure) { return implicatesJob(job, failure.first, failure.second); });
}

std::size_t FaultEvidence::failedTasks(const JobId& job) const
{
    auto position = m_jobs.find(job);
    return position == m_jobs.end() ? 0 : position->second.tasks.size();
}

bool FaultEvidence::implicatesJob(const JobId& job, const VmId& worker, TimePoint failedAt) const
{
    auto position = m_workers.find(worker);
    if (position == m_workers.end())
        return false;
    auto success = position->second.successes.newestExcept(job);
    return success && isConclusive(*success, failedAt);
}

bool FaultEvidence::implicatesWorker(const VmId& worker, const JobId& job, TimePoint failedAt) const
{
    auto position = m_jobs.find(job);
    if (position == m_jobs.end())
        return false;
    auto success = position->second.successes.newestExcept(worker);
    return success && isConclusive(*success, failedAt);
}

// The success came after the failure, or within recentWindow before it and some task has
// succeeded after the failure.
bool FaultEvidence::isConclusive(TimePoint success, TimePoint failedAt) const
{
    return success > failedAt || (failedAt - success < recentWindow && m_lastSuccess > failedAt);
}

void FaultEvidence::forget(TimePoint before)
{
    std::erase_if(m_workers, [&](const auto& entry) { return entry.second.updatedAt < before; });
    std::erase_if(m_jobs, [&](const auto& entry) { return entry.second.updatedAt < before; });
}

} // namespace fulmar::work
