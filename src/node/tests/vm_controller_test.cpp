#include "node/vm_controller.h"

#include "node/tests/fake_platform.h"

#include <asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t shardCount = 2;
constexpr std::chrono::milliseconds maintenanceTime { 900 };
const PoolId standbyPool("standby");

// The controller of one shard, with all that its holder has.
struct ShardVms {
    jobs::Shard shard { {}, 1 };
    VmController controller;

    ShardVms(
        platform::StoreClient& store, platform::VmClient& vms, test::FakePlatform& fake, std::uint32_t index)
        : controller(store, vms, shard, { "node", 1, index, { shardCount }, {}, 1'500ms, maintenanceTime },
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
    asio::io_context loop;
    platform::HttpClient http(loop);
    platform::StoreClient store(http, fake.address());
    platform::VmClient vms(http, fake.address());
    ShardVms first(store, vms, fake, 0);
    ShardVms second(store, vms, fake, 1);
    asio::steady_timer timer(loop);
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
        loop.run_for(50ms);
    BOOST_TEST(fake.maintainedCount() == wave.vms.size());
    BOOST_TEST(fake.maxInMaintenance() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
