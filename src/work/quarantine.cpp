#include "work/quarantine.h"

#include <algorithm>

namespace fulmar::work {

namespace {

// Different jobs that must speak against a worker.
constexpr std::size_t jobsToQuarantine = 3;
// At most this share of a pool is in quarantine, and at least one worker may be.
constexpr double poolShare = 0.1;
// Failing jobs after which a worker that has succeeded before gets one task at a time.
constexpr std::size_t doubtsOfProvenWorker = 2;
constexpr auto firstPause = std::chrono::seconds(60);
constexpr auto longestPause = std::chrono::hours(1);

} // namespace

std::vector<VmId> Quarantine::judge(
    const std::vector<Worker*>& pool, const FaultEvidence& evidence, TimePoint now)
{
    auto inUse = [&](const Worker* worker) { return m_workers.contains(worker->id); };
    auto taken = std::size_t(std::count_if(pool.begin(), pool.end(), inUse));
    auto cap = std::max<std::size_t>(1, std::size_t(double(pool.size()) * poolShare));
    std::vector<VmId> added;
    for (const auto* worker : pool) {
        if (taken >= cap)
            break;
        if (inUse(worker) || evidence.against(worker->id) < jobsToQuarantine)
            continue;
        m_workers[worker->id] = { now + firstPause, firstPause };
        added.push_back(worker->id);
        ++taken;
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
    entry.pause = std::min<Duration>(entry.pause * 2, longestPause);
    entry.probeAt = now + entry.pause;
}

Trust Quarantine::trust(const VmId& worker, const FaultEvidence& evidence) const
{
    if (m_workers.contains(worker))
        return Trust::Quarantined;
    auto doubts = evidence.unresolved(worker);
    auto isDoubtful = doubts >= doubtsOfProvenWorker || (doubts > 0 && !evidence.hasSucceeded(worker));
    return isDoubtful ? Trust::OneTask : Trust::Full;
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
