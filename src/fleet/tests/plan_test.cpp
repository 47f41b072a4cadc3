#include "fleet/move_plan.h"
#include "fleet/wave_plan.h"
#include "fleet_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::fleet;
using namespace fulmar::fleet::test;

namespace {

constexpr TimePoint now { std::chrono::seconds(1) };

MoveSettings plainSettings()
{
    MoveSettings settings;
    settings.headroomFactor = 1;
    settings.minimumVms = 0;
    settings.leavingShare = 0.5;
    return settings;
}

std::uint32_t requiredVms(const PoolLoad& load) { return std::uint32_t(std::ceil(load.demandVms)); }

// Sum over the pools of the VMs that each lacks.
std::uint32_t shortfall(const std::vector<PoolLoad>& loads)
{
    std::uint32_t sum = 0;
    for (const auto& load : loads)
        sum += requiredVms(load) > load.serving ? requiredVms(load) - load.serving : 0;
    return sum;
}

std::vector<PoolLoad> after(std::vector<PoolLoad> loads, const std::vector<PoolMove>& moves)
{
    auto pool = [&](const PoolId& id) {
        return std::find_if(
            loads.begin(), loads.end(), [&](const PoolLoad& each) { return each.pool == id; });
    };
    for (const auto& move : moves) {
        pool(move.from)->serving -= move.vms;
        pool(move.to)->serving += move.vms;
    }
    return loads;
}

// The smallest shortfall that any set of moves within the leaving share reaches, by exhaustive search.
std::uint32_t leastShortfall(
    std::vector<PoolLoad>& loads, std::vector<std::uint32_t>& mayLeave, std::size_t from = 0)
{
    auto least = shortfall(loads);
    for (; from < loads.size(); ++from)
        for (std::size_t to = 0; to < loads.size(); ++to) {
            if (from == to || mayLeave[from] == 0 || loads[from].serving == 0)
                continue;
            --mayLeave[from], --loads[from].serving, ++loads[to].serving;
            least = std::min(least, leastShortfall(loads, mayLeave, from));
            ++mayLeave[from], ++loads[from].serving, --loads[to].serving;
        }
    return least;
}

std::vector<PoolLoad> smallFleet(const std::vector<std::uint8_t>& numbers)
{
    std::vector<PoolLoad> loads;
    for (std::size_t each = 0; each < 3; ++each) {
        auto number = each < numbers.size() ? numbers[each] : 0;
        loads.push_back({ PoolId(std::to_string(each)), each == 0, std::uint32_t(number % 5), 0, 0,
            double(number / 5 % 7) });
    }
    return loads;
}

// The largest number of VMs that the budgets allow to be unavailable at once, by trying all subsets.
std::size_t maxRemovable(const std::vector<VmRecord>& vms, const PoolConfig& pool)
{
    std::size_t most = 0;
    for (std::uint32_t subset = 0; subset < (1U << vms.size()); ++subset) {
        BudgetLedger ledger;
        ledger.addPool(pool);
        for (const auto& vm : vms)
            ledger.addVm(vm, true);
        bool allowed = true;
        std::size_t taken = 0;
        for (std::size_t each = 0; each < vms.size(); ++each)
            if ((subset >> each & 1U) != 0) {
                allowed = allowed && ledger.allows(vms[each]);
                ledger.markUnavailable(vms[each]);
                ++taken;
            }
        if (allowed)
            most = std::max(most, taken);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Plans)

// The planner reaches the smallest shortfall possible, and never takes VMs that a pool needs itself.
RC_BOOST_PROP(MovesAreAsGoodAsExhaustiveSearch, (const std::vector<std::uint8_t>& numbers))
{
    auto loads = smallFleet(numbers);
    std::vector<std::uint32_t> mayLeave;
    for (const auto& load : loads)
        mayLeave.push_back(allowedVms(plainSettings().leavingShare, load.serving));
    auto planned = after(loads, MovePlanner(plainSettings()).plan(now, loads));
    RC_ASSERT(shortfall(planned) == leastShortfall(loads, mayLeave));
    for (std::size_t each = 0; each < loads.size(); ++each)
        RC_ASSERT(planned[each].serving >= std::min(loads[each].serving, requiredVms(loads[each])));
}

// Demand reports lag, so a shortfall is reported again while VMs for it are in transit. It must not cause a
// second move.
BOOST_AUTO_TEST_CASE(LateDemandReportsCauseNoSecondMove)
{
    MovePlanner planner(plainSettings());
    std::vector<PoolLoad> loads { { PoolId("spare"), true, 10, 0, 0, 1 },
        { PoolId("a"), false, 2, 0, 0, 5 } };
    auto moves = planner.plan(now, loads);
    BOOST_REQUIRE(moves.size() == 1);
    BOOST_TEST(moves[0].vms == 3);
    loads[0].serving -= 3;
    loads[0].leaving += 3;
    loads[1].arriving += 3;
    BOOST_TEST(planner.plan(now + std::chrono::milliseconds(500), loads).empty());
    loads[1].arriving = 0;
    BOOST_TEST(!planner.plan(now + std::chrono::seconds(1), loads).empty());
}

BOOST_AUTO_TEST_CASE(EndOfABurstCausesNoMove)
{
    MovePlanner planner(plainSettings());
    std::vector<PoolLoad> loads { { PoolId("spare"), true, 2, 0, 0, 1 },
        { PoolId("a"), false, 8, 0, 0, 0.2 } };
    BOOST_TEST(planner.plan(now, loads).empty());
}

BOOST_AUTO_TEST_CASE(PresetsWeighBufferAgainstRollOut)
{
    auto rollOut = moveSettingsFor(UserWeights::rollOutFirst());
    auto buffer = moveSettingsFor(UserWeights::bufferFirst());
    BOOST_TEST(rollOut.headroomFactor > buffer.headroomFactor);
    BOOST_TEST(rollOut.leavingShare < buffer.leavingShare);
}

// One round of a wave stays within the budgets and takes at least half as many VMs as the best choice: each
// VM taken can block at most two others, one of its rack and one of its zone.
RC_BOOST_PROP(WaveRoundIsNearExhaustiveSearch, (const std::vector<std::uint8_t>& places))
{
    PoolConfig pool { PoolId("a"), 0.5, 0.13, 0.25, false };
    std::vector<VmRecord> vms;
    FleetView view;
    std::set<VmId> live;
    Version version = 0;
    view.apply({ Row { "config/pool/a", encode(pool), ++version, {}, false } });
    for (std::size_t each = 0; each < std::min<std::size_t>(places.size(), 9); ++each) {
        VmRecord vm;
        vm.vm = VmId(std::to_string(each));
        vm.pool = pool.pool;
        vm.rack = RackId("r" + std::to_string(places[each] % 4));
        vm.zone = ZoneId("z" + std::to_string(places[each] / 4 % 3));
        vm.lastMaintained = WallTime(std::chrono::milliseconds(places[each]));
        live.insert(vm.vm);
        view.apply({ Row { vmKey(vm.vm), encode(vm), ++version, {}, false } });
        vms.push_back(vm);
    }
    WaveRecord wave;
    wave.wave = WaveId("w");
    wave.started = WallTime(std::chrono::milliseconds(1'000));
    auto ledger = view.ledger(live);
    auto taken = nextOfWave(waveProgress(view, wave), ledger).size();
    auto most = maxRemovable(vms, pool);
    RC_ASSERT(ledger.remaining(pool.pool) >= 0);
    RC_ASSERT(taken <= most);
    RC_ASSERT(2 * taken >= most);
}

BOOST_AUTO_TEST_CASE(OldestMaintenanceGoesFirst)
{
    FleetView view;
    PoolConfig pool { PoolId("a"), 0.25, 1, 1, false };
    view.apply({ Row { "config/pool/a", encode(pool), 1, {}, false } });
    std::set<VmId> live;
    for (int each = 0; each < 4; ++each) {
        VmRecord vm;
        vm.vm = VmId(std::to_string(each));
        vm.pool = pool.pool;
        vm.zone = ZoneId("z");
        vm.lastMaintained = WallTime(std::chrono::milliseconds(100 - each));
        live.insert(vm.vm);
        view.apply({ Row { vmKey(vm.vm), encode(vm), Version(2 + each), {}, false } });
    }
    WaveRecord wave;
    wave.started = WallTime(std::chrono::milliseconds(1'000));
    auto ledger = view.ledger(live);
    auto next = nextOfWave(waveProgress(view, wave), ledger);
    BOOST_REQUIRE(next.size() == 1);
    BOOST_TEST(next[0].value() == "3");
}

BOOST_AUTO_TEST_SUITE_END()
