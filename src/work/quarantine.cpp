#include "work/quarantine.h"

#include <algorithm>

namespace fulmar::work {

namespace {

// Distinct jobs whose failures must implicate a worker before it is quarantined.
constexpr std::size_t minFailingJobs = 3;
// Largest share of a pool that may be in quarantine; one worker always may.
constexpr double maxPoolShare = 0.1;
// Failing jobs after which a worker with earlier successes gets one task at a time.
constexpr std::size_t failingJobsOfProvenWorker = 2;
constexpr auto initialPause = std::chrono::seconds(60);
constexpr auto maxPause = std::chrono::hours(1);

} // namespace

std::vector<VmId> Quarantine::evaluate(
    const std::vector<Worker*>& pool, const FaultEvidence& evidence, TimePoint now)
{
    auto isQuarantined = [&](const Worker* worker) { return m_workers.contains(worker->id); };
    auto quarantined = std::size_t(std::count_if(pool.begin(), pool.end(), isQuarantined));
    auto cap = std::max<std::size_t>(1, std::size_t(double(pool.size()) * maxPoolShare));
    std::vector<VmId> added;
    for (const auto* worker : pool) {
        if (quarantined >= cap)
            break;
        if (isQuarantined(worker) || evidence.countJobsImplicatingWorker(worker->id) < minFailingJobs)
            continue;
        m_workers[worker->id] = { now + initialPause, initialPause };
        added.push_back(worker->id);
        ++quarantined;
    }
    return added;
}

bool Quarantine::onSuccess(const VmId& worker) { return m_workers.erase(worker) > 0; }

void Quarantine::onFailure(const VmId& worker, TimePoint now)
{
    auto position = m_workers.find(worker);
    if (position == m_workers.end() || now < position->second.probeAt)
        return;
    auto& entry = position->second;
    entry.pause = std::min<Duration>(entry.pause * 2, maxPause);
    entry.probeAt = now + entry.pause;
}

Trust Quarantine::trust(const VmId& worker, const FaultEvidence& evidence) const
{
    if (m_workers.contains(worker))
        return Trust::Quarantined;
    auto failingJobs = evidence.unresolvedJobs(worker);
    auto isSuspect
        = failingJobs >= failingJobsOfProvenWorker || (failingJobs > 0 && !evidence.hasSucceeded(worker));
    return isSuspect ? Trust::OneTask : Trust::Full;
}

bool Quarantine::admits(
    const Worker& worker, bool idempotent, const FaultEvidence& evidence, TimePoint now) const
{
    switch (trust(worker.id, evidence)) {
    case Trust::Full:
        return true;
    case Trust::OneTask:
        return worker.tasks.empty();
    case Trust::Quarantined:
        return idempotent && worker.tasks.empty() && now >= m_workers.at(worker.id).probeAt;
    }
    return false;
}

} // namespace fulmar::work
