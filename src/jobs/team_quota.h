#pragma once

#include "jobs/job_table.h"
#include "jobs/runner.h"
#include "teams/quota_ledger.h"

#include <array>
#include <unordered_map>

namespace fulmar::jobs {

// What each team has running in a shard, and what it may start there. A task counts with its full amounts
// from its start order until its run is known to be over, also if its job is removed before. Does nothing
// while no team has a limit.
class TeamQuota {
public:
    explicit TeamQuota(Epoch epoch)
        : m_ledger(epoch)
    {
    }

    [[nodiscard]] teams::QuotaLedger& ledger() { return m_ledger; }
    [[nodiscard]] const teams::QuotaLedger& ledger() const { return m_ledger; }

    // Number of the team in Run::team; 0 for a job without a team.
    [[nodiscard]] std::uint32_t numberOf(const TeamId&);

    // Counts what runs at the beginning of a planning round: all runs, and the tasks that the earlier holder
    // may have started on runners which have not answered since and whose leases have not lapsed.
    void recount(const std::map<RunnerId, Runner>&, JobTable&, TimePoint earlierRunsEndBy, TimePoint now,
        WallTime wallNow);
    // A start was ordered, or is not ordered after all.
    void add(const Run&);
    void remove(const Run&);

    // Whether the quota lets `count` tasks of the step start together.
    [[nodiscard]] bool mayStart(const Job&, const Step&, std::uint32_t count) const;
    // Whether a start that was ordered, and is not sent yet, is still within the quota.
    [[nodiscard]] bool maySend(const Run&) const;
    // Of `waiting` tasks of the step, how many the quota lets start now.
    [[nodiscard]] std::uint32_t startable(const Job&, const Step&, std::uint32_t waiting) const;
    // The step's waiting tasks are held back by the quota alone, or wait for a runner.
    void noteHeldBack(const Job&, const Step&, std::uint32_t waiting);
    void noteQueued(const Job&, const Step&, std::uint32_t waiting);

    // Time in which the team's quota in this shard lets work of this size run, in amounts times milliseconds.
    [[nodiscard]] Millis timeToRun(const TeamId&, const std::array<double, 3>& work) const;

    [[nodiscard]] teams::TeamUses uses() const;

    // Hands out what the quota lets start over the jobs of a pool, so that their sum is within it.
    class Room {
    public:
        explicit Room(const TeamQuota& quota)
            : m_quota(quota)
        {
        }
        // How many of the waiting tasks of the step are within the quota.
        [[nodiscard]] std::uint32_t take(const Job&, const Step&, std::uint32_t waiting);

    private:
        const TeamQuota& m_quota;
        std::unordered_map<TeamId, Resources> m_taken;
    };

private:
    [[nodiscard]] const teams::TeamUse& useOf(const TeamId&) const;
    [[nodiscard]] teams::TeamUse* limitedUse(const TeamId&);
    void countUnresolved(const std::map<RunnerId, Runner>&, JobTable&, TimePoint now, WallTime wallNow);

    teams::QuotaLedger m_ledger;
    std::unordered_map<TeamId, std::uint32_t> m_numbers;
    // By number; the first is for jobs without a team.
    std::vector<TeamId> m_teams { TeamId() };
    std::vector<teams::TeamUse> m_uses { teams::TeamUse {} };
};

} // namespace fulmar::jobs
