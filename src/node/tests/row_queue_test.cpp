#include "node/row_queue.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::node;

namespace {

platform::RowName row(int number) { return { "t", "p", std::to_string(number) }; }

void call(const std::vector<RowQueue::OnDurable>& calls)
{
    for (const auto& each : calls)
        each();
}

} // namespace

BOOST_AUTO_TEST_SUITE(row_queue)

// A requeued row overtakes other rows. It must not release callbacks that wait for those rows as well:
// a runner would be told that the end of a run is stored, and discard it, before it is.
BOOST_AUTO_TEST_CASE(ARequeuedRowDoesNotReleaseCallbacksOfOtherRows)
{
    RowQueue queue;
    queue.put(row(1), "old", {}, false);
    BOOST_TEST(queue.take(1, 1000).size() == 1U);
    queue.put(row(2), "other", {}, false);
    queue.put(row(1), "new", {}, false);
    bool isDurable = false;
    queue.whenDurable([&] { isDurable = true; });
    queue.requeue();
    const auto& batch = queue.take(1, 1000);
    BOOST_REQUIRE_EQUAL(batch.size(), 1U);
    BOOST_TEST(*batch.begin()->second.value == "new");
    call(queue.commit());
    BOOST_TEST(!isDurable);
    BOOST_TEST(queue.take(1, 1000).begin()->first.key == "2");
    call(queue.commit());
    BOOST_TEST(isDurable);
}

// Guards against a completed job that is shown as running for ever, as the earlier of two states that were
// stored together was reported last.
BOOST_AUTO_TEST_CASE(CallbacksOfARequeuedRowKeepTheirOrder)
{
    RowQueue queue;
    std::string reported;
    queue.put(
        row(1), "running", [&] { reported = "running"; }, false);
    BOOST_TEST(queue.take(1, 1000).size() == 1U);
    queue.put(
        row(1), "completed", [&] { reported = "completed"; }, false);
    queue.requeue();
    BOOST_TEST(*queue.take(1, 1000).begin()->second.value == "completed");
    call(queue.commit());
    BOOST_TEST(reported == "completed");
}

// Whatever fails and is retried, no value is reported durable before it or a later one is stored.
BOOST_AUTO_TEST_CASE(DurableMeansStored)
{
    BOOST_TEST(rc::check("durable means stored", [] {
        RowQueue queue;
        std::map<std::string, int> stored;
        std::map<std::string, int> newest;
        bool isTaken = false;
        auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        int value = 0;
        for (auto step : steps) {
            if (step < 50) {
                auto name = row(step % 7);
                newest[name.key] = ++value;
                queue.put(name, std::to_string(value), {}, step % 5 == 0);
            } else if (step < 65) {
                queue.whenDurable([&stored, expected = newest] {
                    for (const auto& [key, number] : expected)
                        RC_ASSERT(stored[key] >= number);
                });
            } else if (!isTaken) {
                isTaken = !queue.take(2, 1000).empty();
            } else {
                isTaken = false;
                if (step < 85) {
                    for (const auto& [name, entry] : queue.batch())
                        stored[name.key] = std::max(stored[name.key], std::stoi(*entry.value));
                    call(queue.commit());
                } else {
                    queue.requeue();
                }
            }
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
