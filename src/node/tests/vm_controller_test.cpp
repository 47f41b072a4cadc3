#include "node/vm_controller.h"

#include "jobs/placement.h"
#include "node/tests/fake_platform.h"
#include "platform/decode.h"
#include "platform/names.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t shardCount = 2;
constexpr std::chrono::milliseconds maintenanceTime { 900 };
const PoolId standbyPool("standby");
const PoolId workPool("work");
// A move takes 1.5 s at most in these tests, and counts as failed 3 s after that; lists are a second apart.
constexpr std::chrono::milliseconds moveFailedWithin { 6'500 };

// Of one process.
struct Clients {
    asio::io_context loop;
    platform::HttpClient http { loop };
    platform::StoreClient store;
    platform::VmClient vms;

    explicit Clients(const test::FakePlatform& fake)
        : store(http, fake.address())
        , vms(http, fake.address())
    {
    }
};

// The controller of one shard, with all that its holder has.
struct ShardVms {
    jobs::Shard shard { {}, 1 };
    VmController controller;

    ShardVms(Clients& clients, test::FakePlatform& fake, std::uint32_t index)
        : controller(clients.store, clients.vms, shard,
            { "node", 1, index, { shardCount }, {}, 1'500ms, maintenanceTime },
            { [] { return true; },
                [index](const VmId& vm) { return ShardMap { shardCount }.shardOf(vm) == index; },
                [&fake, index](std::int64_t wave, std::string record, const std::function<void()>& durable) {
                    fake.put(waveTable, ShardMap::partOf(index), std::to_string(wave), std::move(record));
                    if (durable)
                        durable();
                },
                [] {} })
    {
        jobs::FleetConfig config;
        config.pools.push_back({ standbyPool, true, false });
        controller.configure(config);
    }
};

constexpr Resources capacityOfVm { 16'000, 32'768, 0 };

// A pool whose VMs all belong to one shard; its runners answer and run nothing.
class PoolOfVms {
public:
    explicit PoolOfVms(int size)
    {
        for (int i = 0; int(m_runners.size()) < size; ++i) {
            VmId vm("vm-" + std::to_string(i));
            if (ShardMap { shardCount }.shardOf(vm) != 0)
                continue;
            jobs::RunnerReport report;
            report.id = jobs::RunnerId("runner-" + std::to_string(i));
            report.vm = vm;
            report.pool = workPool;
            report.incarnation = 1;
            report.capacity = capacityOfVm;
            m_fake.addVm(vm, workPool, report.id.value());
            m_runners.emplace(report.id, report);
        }
        m_vms.shard.observeRunners(m_runners, m_clock.now());
        jobs::FleetConfig config;
        config.pools = { { standbyPool, true, false }, { workPool, false, false } };
        m_vms.controller.configure(config);
        BOOST_REQUIRE(runUntil(2s, [this] { return countUnusable() == 0; }));
    }

    // Each of the tasks fills a VM, and does not end.
    void submit(const std::string& id, std::uint32_t tasks, const Resources& perTask)
    {
        jobs::Job job;
        job.id = JobId(id);
        job.queue = "queue";
        job.policy = { workPool, 0, 3, 1.6, 60s };
        jobs::Step step;
        step.count = tasks;
        step.perTask = perTask;
        step.estimate = 500ms;
        job.steps.push_back(step);
        BOOST_REQUIRE(bool(
            m_vms.shard.submit(job, m_clock.now(), m_clock.wallNow()).verdict == jobs::SubmitVerdict::New));
    }

    // Runs the controller and the shard until `isDone`, or for `limit`.
    bool runUntil(std::chrono::milliseconds limit, const std::function<bool()>& isDone)
    {
        for (auto until = m_clock.now() + limit; m_clock.now() < until;) {
            m_vms.controller.tick();
            plan();
            m_clients.loop.restart();
            m_clients.loop.run_for(20ms);
            if (isDone())
                return true;
        }
        return false;
    }

    [[nodiscard]] std::size_t started(const std::string& job) const { return m_started.count(JobId(job)); }
    [[nodiscard]] bool isUnusable(const jobs::RunnerId& id)
    {
        return !jobs::isUsable(m_vms.shard.runners().at(id), m_clock.now());
    }
    [[nodiscard]] std::size_t countUnusable()
    {
        return std::size_t(std::count_if(
            m_runners.begin(), m_runners.end(), [this](const auto& each) { return isUnusable(each.first); }));
    }
    [[nodiscard]] bool hasReadVmList() { return m_fake.listCount() > 0; }
    [[nodiscard]] test::FakePlatform& fake() { return m_fake; }
    void addWave(const jobs::WaveOrder& wave) { m_vms.controller.addWave(wave); }
    [[nodiscard]] const std::map<jobs::RunnerId, jobs::RunnerReport>& runners() const { return m_runners; }
    jobs::Shard& shard() { return m_vms.shard; }

private:
    void plan()
    {
        auto now = m_clock.now();
        for (const auto& change : m_vms.shard.takeChanges(now))
            m_vms.shard.onStored(change, now);
        auto orders = m_vms.shard.plan(now, m_clock.wallNow(), true);
        for (const auto& start : orders.starts) {
            m_started.insert(start.order.task.job);
            m_vms.shard.onStart(start.runner.id, start.order, { jobs::OrderOutcome::Accepted, {}, 0 }, now);
        }
        for (const auto& poll : orders.polls) {
            jobs::PollAnswer answer { { jobs::OrderOutcome::Accepted, jobs::RunnerTime(0), 1 }, {}, {} };
            for (const auto& [task, run] : m_vms.shard.runners().at(poll.runner.id).runs())
                answer.running.push_back({ task, run.attempt, "", 100 });
            m_vms.shard.onPoll(poll.runner.id, poll.order, answer, now - 1ms, now);
        }
    }

    test::FakePlatform m_fake { maintenanceTime };
    Clients m_clients { m_fake };
    ShardVms m_vms { m_clients, m_fake, 0 };
    BootClock m_clock;
    std::map<jobs::RunnerId, jobs::RunnerReport> m_runners;
    std::multiset<JobId> m_started;
};

} // namespace

BOOST_AUTO_TEST_SUITE(vm_controller)

// Guards against a wave that takes down more VMs than it may: a shard that waited for the one before it took
// its first VM down while the last one of that shard was still down.
BOOST_AUTO_TEST_CASE(AWaveOverSeveralShardsKeepsItsLimit)
{
    test::FakePlatform fake(maintenanceTime);
    jobs::WaveOrder wave { 1, {}, 20s, 1 };
    for (int i = 0; i < 4; ++i) {
        wave.vms.emplace_back("vm-" + std::to_string(i));
        fake.addVm(wave.vms.back(), standbyPool);
    }
    for (std::uint32_t index = 0; index < shardCount; ++index)
        BOOST_REQUIRE(std::any_of(wave.vms.begin(), wave.vms.end(),
            [=](const VmId& vm) { return ShardMap { shardCount }.shardOf(vm) == index; }));
    Clients clients(fake);
    ShardVms first(clients, fake, 0);
    ShardVms second(clients, fake, 1);
    asio::steady_timer timer(clients.loop);
    std::function<void()> tick = [&] {
        first.controller.tick();
        second.controller.tick();
        timer.expires_after(20ms);
        timer.async_wait([&](const asio::error_code& error) {
            if (!error)
                tick();
        });
    };
    first.controller.addWave(wave);
    second.controller.addWave(wave);
    tick();
    for (auto until = std::chrono::steady_clock::now() + 20s;
         fake.maintainedCount() < wave.vms.size() && std::chrono::steady_clock::now() < until;)
        clients.loop.run_for(50ms);
    BOOST_TEST(fake.maintainedCount() == wave.vms.size());
    BOOST_TEST(fake.maxInMaintenance() == 1U);
}

// A holder may stop after an order for a VM is carried out and before that is stored. Guards against a next
// holder that takes down one VM more, or never ends the wave.
BOOST_AUTO_TEST_CASE(AWaveGoesOnAfterHoldersThatStoredNothing)
{
    test::FakePlatform fake(maintenanceTime);
    jobs::WaveOrder wave { 1, {}, 20s, 1 };
    for (int i = 0; wave.vms.size() < 3; ++i) {
        VmId vm("vm-" + std::to_string(i));
        if (ShardMap { shardCount }.shardOf(vm) == 0) {
            wave.vms.push_back(vm);
            fake.addVm(vm, standbyPool);
        }
    }
    Clients clients(fake);
    auto isCompleted = [&] {
        return fake.value(waveTable, ShardMap::partOf(0), "1").find(R"("completed":true)")
            != std::string::npos;
    };
    auto until = std::chrono::steady_clock::now() + 20s;
    while (!isCompleted() && std::chrono::steady_clock::now() < until) {
        ShardVms holder(clients, fake, 0);
        holder.controller.addWave(wave);
        for (auto before = fake.maintainedCount(); !isCompleted() && std::chrono::steady_clock::now() < until
             && (fake.maintainedCount() == before || before == wave.vms.size());) {
            holder.controller.tick();
            clients.loop.restart();
            clients.loop.run_for(20ms);
        }
    }
    BOOST_TEST(isCompleted());
    BOOST_TEST(fake.maintainedCount() == wave.vms.size());
    BOOST_TEST(fake.maxInMaintenance() == 1U);
}

// The report of a wave is another row than the records of its shards, and their holders may stop in between.
// Guards against a wave that is reported as completed too early, or never.
BOOST_AUTO_TEST_CASE(AWaveIsReportedByWhicheverHolderFindsAllShardsDone)
{
    test::FakePlatform fake(maintenanceTime);
    jobs::WaveOrder wave { 1, {}, 20s, 2 };
    for (int i = 0; i < 4; ++i) {
        wave.vms.emplace_back("vm-" + std::to_string(i));
        fake.addVm(wave.vms.back(), standbyPool);
    }
    Clients clients(fake);
    auto report = [&] { return fake.value(platform::reportTable, "", platform::waveReportKey(1)); };
    auto completed = platform::encodeWaveState(true);
    auto until = std::chrono::steady_clock::now() + 20s;
    while (report() != completed && std::chrono::steady_clock::now() < until) {
        std::array<std::unique_ptr<ShardVms>, shardCount> holders;
        for (std::uint32_t index = 0; index < shardCount; ++index) {
            holders[index] = std::make_unique<ShardVms>(clients, fake, index);
            auto record = fake.value(waveTable, ShardMap::partOf(index), "1");
            BOOST_TEST((record.empty() || holders[index]->controller.restoreWave("1", record)));
            holders[index]->controller.addWave(wave);
        }
        // All holders stop as soon as one has stored a record.
        auto records = [&] {
            return fake.value(waveTable, ShardMap::partOf(0), "1")
                + fake.value(waveTable, ShardMap::partOf(1), "1");
        };
        auto before = records();
        for (auto stop = std::chrono::steady_clock::now() + 3s;
             records() == before && report() != completed && std::chrono::steady_clock::now() < stop;) {
            for (auto& holder : holders)
                holder->controller.tick();
            clients.loop.restart();
            clients.loop.run_for(20ms);
        }
        if (report() == completed)
            BOOST_TEST(fake.maintainedCount() == wave.vms.size());
    }
    BOOST_TEST(report() == completed);
    BOOST_TEST(fake.maxInMaintenance() <= 2U);
}

// Guards against a wave that is reported as completed, with a VM of it that has had no maintenance: the VM
// was newer than the list of VMs, and was taken for one that has left.
BOOST_AUTO_TEST_CASE(AWaveOfAVmThatIsNewerThanTheListIsCarriedOut)
{
    PoolOfVms pool(2);
    BOOST_REQUIRE(pool.runUntil(2s, [&] { return pool.hasReadVmList(); }));
    pool.runUntil(100ms, [] { return false; });
    VmId newVm("vm-new-0");
    for (int i = 1; ShardMap { shardCount }.shardOf(newVm) != 0; ++i)
        newVm = VmId("vm-new-" + std::to_string(i));
    pool.fake().addVm(newVm, standbyPool);
    pool.addWave({ 1, { newVm }, 10s, 2 });
    BOOST_TEST(pool.runUntil(4s, [&] { return pool.fake().maintainedCount() == 1; }));
}

// Guards against a task that waits beside an idle VM: an order to move the VM had no answer and was not
// carried out, and its runner got no work any more.
BOOST_AUTO_TEST_CASE(AMoveThatFailsWithoutAnAnswerFreesItsRunner)
{
    PoolOfVms pool(6);
    pool.fake().silenceVmOrders();
    BOOST_REQUIRE(pool.runUntil(8s, [&] { return pool.countUnusable() >= 3; }));
    pool.submit("late", 6, capacityOfVm);
    BOOST_TEST(pool.runUntil(moveFailedWithin, [&] { return pool.started("late") == 6; }));
}

// Guards against a task that waits beside an idle VM: the VM's maintenance was ordered again after an earlier
// holder, and the order was accepted as done already, which ends no runner.
BOOST_AUTO_TEST_CASE(MaintenanceThatWasAlreadyDoneFreesItsRunner)
{
    PoolOfVms pool(2);
    auto runner = pool.runners().begin()->first;
    auto vm = pool.runners().begin()->second.vm;
    pool.fake().setMaintained(vm);
    pool.addWave({ 1, { vm }, 10s, 2 });
    BOOST_REQUIRE(pool.runUntil(5s, [&] { return pool.isUnusable(runner); }));
    BOOST_TEST(pool.runUntil(3s, [&] { return !pool.isUnusable(runner); }));
}

// Guards against a task that waits beside an idle VM: the VM was being emptied when it went down, the list
// showed it without its runner, and the runner that came back under its id got no work any more.
BOOST_AUTO_TEST_CASE(ARunnerThatIsBackAfterItsVmWasDownIsUsable)
{
    PoolOfVms pool(4);
    // Few processors are in use, so half of the VMs are to be emptied.
    pool.submit("busy", 4, { 1'000, capacityOfVm.memoryMb, 0 });
    BOOST_REQUIRE(pool.runUntil(8s, [&] { return pool.countUnusable() > 0; }));
    auto emptied = std::find_if(pool.runners().begin(), pool.runners().end(),
        [&](const auto& each) { return pool.isUnusable(each.first); });
    BOOST_REQUIRE(emptied != pool.runners().end());
    pool.fake().setVmDown(emptied->second.vm, true);
    pool.runUntil(1'500ms, [] { return false; });
    pool.fake().setVmDown(emptied->second.vm, false);
    pool.submit("late", 4, capacityOfVm);
    BOOST_TEST(pool.runUntil(3s, [&] { return !pool.isUnusable(emptied->first); }));
}

// Guards against a task that waits beside an idle VM: the VM was being emptied when the list did not show it,
// so the wave was completed without it, and it was back later.
BOOST_AUTO_TEST_CASE(ARunnerThatIsBackAfterItsWaveIsUsable)
{
    PoolOfVms pool(2);
    pool.submit("busy", 2, capacityOfVm);
    BOOST_REQUIRE(pool.runUntil(2s, [&] { return pool.started("busy") == 2; }));
    auto runner = pool.runners().begin()->first;
    auto vm = pool.runners().begin()->second.vm;
    pool.addWave({ 1, { vm }, 2s, 2 });
    BOOST_REQUIRE(pool.runUntil(5s, [&] { return pool.isUnusable(runner); }));
    pool.fake().setVmListed(vm, false);
    pool.runUntil(1'500ms, [] { return false; });
    pool.fake().setVmListed(vm, true);
    pool.runUntil(1'500ms, [] { return false; });
    BOOST_TEST(!pool.isUnusable(runner));
}

BOOST_AUTO_TEST_SUITE_END()
