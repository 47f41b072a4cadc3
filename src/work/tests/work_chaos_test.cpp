#include "work_fakes.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace fulmar;
using namespace fulmar::work;
using namespace fulmar::test;
using namespace std::chrono_literals;

namespace {

WorkSettings declaredSizesOnly()
{
    WorkSettings settings;
    settings.scheduler.learnsSizes = false;
    return settings;
}

// Lets lapses, pauses, lost replies, outages, dead workers, submissions and cancellations happen at random,
// then mends everything, and collects what must never have happened.
class Chaos {
public:
    Chaos(std::uint64_t seed, Sabotage sabotage)
        : m_random(seed)
        , m_site(4, declaredSizesOnly())
    {
        m_site.platform.sabotage = sabotage;
        m_site.workers.sabotage = sabotage;
        m_site.platform.random = &m_random;
        m_site.workers.random = &m_random;
        m_site.workers.onStart
            = [this](const VmId& worker, const TaskStart& start) { checkStart(worker, start); };
    }

    std::vector<std::string> run()
    {
        for (int round = 0; round < 60; ++round) {
            act();
            m_site.run(Duration(std::uniform_int_distribution<>(0, 3'000'000)(m_random)));
            if (m_site.pausedDuty)
                m_site.pausedDuty->step();
        }
        mend();
        for (const auto& [id, reply] : m_submitted)
            checkEnd(id, reply);
        return m_violations;
    }

private:
    int pick(int count) { return std::uniform_int_distribution<>(0, count - 1)(m_random); }

    void act()
    {
        switch (pick(10)) {
        case 0:
        case 1:
        case 2:
            return submitSome();
        case 3:
            if (auto id = fmt::format("t{}", pick(m_next + 1)); m_submitted.contains(id))
                m_cancelled[id] = m_site.cancel(id);
            return;
        case 4:
            return m_site.changeOwner();
        case 5:
            m_site.platform.available = !m_site.platform.available;
            return;
        case 6:
            m_site.platform.faultShare = m_site.workers.faultShare = pick(3) * 0.15;
            return;
        case 8:
            m_site.lease->isHeld = !m_site.lease->isHeld;
            return;
        case 7:
            return m_site.workers.endAll(pick(2) == 0 ? TaskPhase::Finished : TaskPhase::Failed);
        default:
            auto worker = std::next(m_site.workers.machines.begin(), pick(4));
            worker->second.live = !worker->second.live;
        }
    }

    void submitSome()
    {
        for (int i = pick(8); i >= 0; --i) {
            auto spec = taskSpec(fmt::format("t{}", m_next++), 1 + pick(6), pick(2) == 0);
            spec.urgent = pick(4) == 0;
            spec.job = JobId(fmt::format("job{}", pick(5)));
            m_submitted[spec.task.value()] = m_site.submit(spec);
        }
    }

    // The table and the workers work again, and whatever runs finishes.
    void mend()
    {
        m_site.platform.available = true;
        m_site.lease->isHeld = true;
        m_site.platform.faultShare = m_site.workers.faultShare = 0;
        for (auto& [id, worker] : m_site.workers.machines)
            worker.live = true;
        for (int i = 0; i < 40; ++i) {
            m_site.run(5s);
            m_site.workers.finishAll();
        }
        m_site.run(60s);
        if (m_site.pausedDuty)
            m_site.pausedDuty->shutDown();
    }

    void checkStart(const VmId& worker, const TaskStart& start)
    {
        const auto& id = start.task.value();
        Resources used { start.processors, double(start.memoryMb), 0 };
        for (const auto& [operation, run] : m_site.workers.runs) {
            auto isActive = FakeWorkers::isActive(run) && run.leaseUntil >= m_site.clock.now();
            if (run.worker == worker && isActive)
                used += run.size;
        }
        if (used.processors > 16 + resourceTolerance)
            m_violations.push_back("overcommitted " + worker.value());
        if (m_site.workers.startsOf(id) > 1 && !isIdempotent(id))
            m_violations.push_back("started twice: " + id);
        if (auto cancel = m_cancelled.find(id);
            cancel != m_cancelled.end() && cancel->second->has_value() && (*cancel->second)->has_value())
            m_violations.push_back("started after its cancellation was confirmed: " + id);
    }

    bool isIdempotent(const std::string& id)
    {
        for (const auto& row : m_site.platform.table.read("task/0/" + id, 0).rows)
            if (auto record = decodeTask(row.value); record && record->spec.task.value() == id)
                return record->spec.idempotent;
        return false;
    }

    void checkEnd(const std::string& id, const Site::Reply& reply)
    {
        if (!reply->has_value()) {
            m_violations.push_back("never answered: " + id);
            return;
        }
        auto status = m_site.duty->status(TaskId(id));
        if ((*reply)->has_value() && (!status || !isFinal(status->state)))
            m_violations.push_back("accepted and lost: " + id);
        auto isRefused = !(*reply)->has_value() && (*reply)->error().outcome == Outcome::NotRun;
        if (isRefused && m_site.workers.startsOf(id) > 0)
            m_violations.push_back("refused and run: " + id);
    }

    std::mt19937_64 m_random;
    Site m_site;
    int m_next { 0 };
    std::map<std::string, Site::Reply> m_submitted;
    std::map<std::string, Site::Reply> m_cancelled;
    std::vector<std::string> m_violations;
};

bool isNoticed(Sabotage sabotage, const std::string& violation)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
        for (const auto& each : Chaos(seed, sabotage).run())
            if (each.starts_with(violation))
                return true;
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WorkChaos)

RC_BOOST_PROP(NothingIsLostDoubledOvercommittedOrStartedAfterItsCancellation, (std::uint64_t seed))
{
    auto violations = Chaos(seed, Sabotage::None).run();
    for (const auto& violation : violations)
        RC_LOG() << violation << '\n';
    RC_ASSERT(violations.empty());
}

BOOST_AUTO_TEST_CASE(BrokenVariantsAreNoticed)
{
    BOOST_TEST(isNoticed(Sabotage::ForgetsStarts, "started twice"));
    BOOST_TEST(isNoticed(Sabotage::DropsWrites, "accepted and lost"));
    BOOST_TEST(isNoticed(Sabotage::ForgetsCancels, "started after"));
    BOOST_TEST(isNoticed(Sabotage::InflatesWorkers, "overcommitted"));
}

BOOST_AUTO_TEST_SUITE_END()
