#include "node/descriptor_budget.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar::node;

BOOST_AUTO_TEST_SUITE(descriptor_budget)

// Guards against a process whose connections leave no descriptor for its server of other processes' calls.
BOOST_AUTO_TEST_CASE(ThePartsLeaveDescriptorsForTheRest)
{
    constexpr std::int64_t files = 200;
    for (std::int64_t max = 240; max < 20'000; ++max) {
        auto budget = descriptorBudget(max);
        auto sum = std::int64_t(budget.callers + budget.readiness + budget.metrics + budget.outgoing);
        BOOST_REQUIRE(sum + files + 24 <= max);
    }
}

BOOST_AUTO_TEST_CASE(EachPartHasSome)
{
    for (auto max : { 0, 64, 200, 230, 256, 1'024, 4'100 }) {
        auto budget = descriptorBudget(max);
        BOOST_TEST((budget.callers > 0 && budget.readiness > 0 && budget.metrics > 0 && budget.outgoing > 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()
