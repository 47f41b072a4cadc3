#include "fleet_fixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::fleet;
using namespace fulmar::fleet::test;

namespace {

// Two processes that read the same rows each take a different VM of one pool out of service; the pool's
// budget allows one. Returns how many of them succeed.
std::size_t concurrentWithdrawals(bool budgetRowsAreConditions)
{
    Fleet fleet;
    fleet.addPool("a", 0.25, 4);
    if (!budgetRowsAreConditions)
        fleet.state.ignoreConditionsOn = keys::budgetPrefix;
    FleetView view;
    view.apply(fleet.state.table.read("", 0).rows);
    std::size_t taken = 0;
    for (const auto* name : { "a-0", "a-1" }) {
        const auto& vm = view.vms().at(VmId(name));
        IntentRecord intent;
        intent.operation = OperationId(name);
        intent.vm = vm.record.vm;
        auto change = takeOutOfService(view, vm, intent, "test", {});
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

// Whether a plain recount of the VMs is within the pool's budgets.
bool isWithinBudget(const PoolConfig& pool, const std::vector<VmRecord>& vms)
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

BOOST_AUTO_TEST_CASE(BudgetOfOneVmIsSpentOnce)
{
    BOOST_TEST(concurrentWithdrawals(true) == 1);
    BOOST_TEST(concurrentWithdrawals(false) == 2);
}

// The ledger allows a VM to be taken out of service exactly if a plain recount is within the budgets
// afterwards.
RC_BOOST_PROP(LedgerAgreesWithRecount, (const std::vector<std::uint8_t>& picks))
{
    PoolConfig pool { PoolId("p"), 0.3, 0.15, 0.2, false };
    std::vector<VmRecord> vms;
    BudgetLedger ledger;
    ledger.addPool(pool);
    for (std::size_t number = 0; number < 20; ++number) {
        vms.push_back(makeVm(number));
        ledger.addVm(vms.back(), true);
    }
    for (auto pick : picks) {
        auto& vm = vms[pick % vms.size()];
        if (vm.state != VmState::Serving) {
            vm.state = VmState::Serving;
            ledger.markAvailable(vm);
            continue;
        }
        vm.state = VmState::Leaving;
        bool allowed = ledger.refusal(vm).empty();
        RC_ASSERT(allowed == isWithinBudget(pool, vms));
        if (allowed)
            ledger.markUnavailable(vm);
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
    // Two VMs of rack r1 are unavailable, which the budget of a pool of 8 VMs allows and that of 7 VMs does
    // not.
    BOOST_TEST(ledger.refusal(makeVm(0)).empty());
    BOOST_TEST(
        ledger.refusalOfMove(makeVm(0)) == "without the VM the budget of pool p in rack r1 would not hold");
}

BOOST_AUTO_TEST_SUITE_END()
