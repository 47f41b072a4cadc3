#include "fleet_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::fleet;
using namespace fulmar::fleet::test;

namespace {

// Two processes that read the same rows each take another VM of the pool, whose budget allows one. Returns
// how many of them succeed.
std::size_t concurrentTakes(bool budgetsAreConditions)
{
    Fleet fleet;
    fleet.addPool("a", 0.25, 4);
    if (!budgetsAreConditions)
        fleet.state.ignoreConditionsOn = keys::budgetPrefix;
    FleetView view;
    view.apply(fleet.state.table.read("", 0).rows);
    std::size_t taken = 0;
    for (const auto* name : { "a-0", "a-1" }) {
        const auto& vm = view.vms().at(VmId(name));
        IntentRecord intent;
        intent.operation = OperationId(name);
        intent.vm = vm.record.vm;
        auto change = takeOut(view, vm, intent, "test", {});
        taken += fleet.state.commit({ intent.operation, change.conditions(), change.writes() }) ? 1 : 0;
    }
    return taken;
}

VmRecord makeVm(std::size_t number)
{
    VmRecord vm;
    vm.vm = VmId(fmt::format("v{}", number));
    vm.pool = PoolId("p");
    vm.rack = RackId(fmt::format("r{}", number % 4));
    vm.zone = ZoneId(fmt::format("z{}", number % 3));
    return vm;
}

// Whether the counts, taken naively from the VMs, keep within the pool's budget.
bool holdsNaively(const PoolConfig& pool, const std::vector<VmRecord>& vms)
{
    std::map<std::string, std::size_t> down;
    for (const auto& vm : vms)
        if (vm.state != VmState::Serving)
            for (const auto& name : { std::string("pool"), vm.rack.value(), vm.zone.value() })
                ++down[name];
    return std::all_of(down.begin(), down.end(), [&](const auto& domain) {
        auto share = domain.first == "pool" ? pool.unavailableShare
            : domain.first[0] == 'r'        ? pool.unavailableSharePerRack
                                            : pool.unavailableSharePerZone;
        return double(domain.second) <= share * double(vms.size()) + 1e-9;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Budget)

BOOST_AUTO_TEST_CASE(LastVmIsTakenOnce)
{
    BOOST_TEST(concurrentTakes(true) == 1);
    BOOST_TEST(concurrentTakes(false) == 2);
}

// The ledger allows a take exactly when the naive count holds afterwards.
RC_BOOST_PROP(LedgerAgreesWithNaiveCount, (const std::vector<std::uint8_t>& wishes))
{
    PoolConfig pool { PoolId("p"), 0.3, 0.15, 0.2, false };
    std::vector<VmRecord> vms;
    BudgetLedger ledger;
    ledger.addPool(pool);
    for (std::size_t number = 0; number < 20; ++number) {
        vms.push_back(makeVm(number));
        ledger.addVm(vms.back(), true);
    }
    for (auto wish : wishes) {
        auto& vm = vms[wish % vms.size()];
        if (vm.state != VmState::Serving) {
            vm.state = VmState::Serving;
            ledger.giveBack(vm);
            continue;
        }
        vm.state = VmState::Leaving;
        bool allowed = ledger.refusal(vm).empty();
        RC_ASSERT(allowed == holdsNaively(pool, vms));
        if (allowed)
            ledger.take(vm);
        else
            vm.state = VmState::Serving;
    }
}

BOOST_AUTO_TEST_CASE(MoveKeepsBudgetsOfTheSmallerPool)
{
    PoolConfig pool { PoolId("p"), 0.5, 0.25, 1, false };
    BudgetLedger ledger;
    ledger.addPool(pool);
    for (std::size_t number = 0; number < 8; ++number)
        ledger.addVm(makeVm(number), number != 1 && number != 5);
    // Two VMs of rack r1 are down, which 8 VMs allow and 7 do not.
    BOOST_TEST(ledger.refusal(makeVm(0)).empty());
    BOOST_TEST(
        ledger.refusalOfMove(makeVm(0)) == "without the VM the budget of pool p in rack r1 would not hold");
}

BOOST_AUTO_TEST_SUITE_END()
