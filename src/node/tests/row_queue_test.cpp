#include "node/row_queue.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace fulmar;
using namespace fulmar::node;

namespace {

platform::RowName row(int number, const char* table = "t") { return { table, "p", std::to_string(number) }; }

void put(
    RowQueue& queue, int number, std::string value, RowQueue::OnDurable durable = {}, bool goesFirst = false)
{
    queue.put({ { row(number), std::move(value) } }, std::move(durable), goesFirst);
}

std::string valueOf(const RowQueue::Entry& entry) { return *entry.rows.begin()->second; }

// Numbers below 100, each as likely as any other.
std::vector<int> drawSteps()
{
    return *rc::gen::resize(100, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100)));
}

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
    put(queue, 1, "old");
    BOOST_TEST(queue.take(1, 1000).size() == 1U);
    put(queue, 2, "other");
    put(queue, 1, "new");
    bool isDurable = false;
    queue.whenDurable([&] { isDurable = true; });
    queue.requeue();
    const auto& batch = queue.take(1, 1000);
    BOOST_REQUIRE_EQUAL(batch.size(), 1U);
    BOOST_TEST(valueOf(batch.begin()->second) == "new");
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
    put(queue, 1, "running", [&] { reported = "running"; });
    BOOST_TEST(queue.take(1, 1000).size() == 1U);
    put(queue, 1, "completed", [&] { reported = "completed"; });
    queue.requeue();
    BOOST_TEST(valueOf(queue.take(1, 1000).begin()->second) == "completed");
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
        auto steps = drawSteps();
        int value = 0;
        for (auto step : steps) {
            if (step < 50) {
                newest[std::to_string(step % 7)] = ++value;
                put(queue, step % 7, std::to_string(value), {}, step % 5 == 0);
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
                    for (const auto& [record, entry] : queue.batch())
                        stored[record.key] = std::max(stored[record.key], std::stoi(valueOf(entry)));
                    call(queue.commit());
                } else {
                    queue.requeue();
                }
            }
        }
    }));
}

// Guards against a shard that is handed over before its last rows are stored, as they were sent again in
// another order.
BOOST_AUTO_TEST_CASE(ARequeuedBatchKeepsItsOrder)
{
    RowQueue queue;
    for (auto number : { 2, 1, 3 })
        put(queue, number, "value");
    BOOST_TEST(queue.take(3, 1000).size() == 3U);
    put(queue, 4, "first", {}, true);
    put(queue, 3, "newer");
    queue.requeue();
    std::string order;
    while (!queue.hasNothingQueued()) {
        order += queue.take(1, 1000).begin()->first.key;
        call(queue.commit());
    }
    BOOST_TEST(order == "4213");
}

// Whatever is refused, requeued or replaced, no transaction ends between two rows that were put together.
// `first` has the number of the last put of both rows, `second` that number and the one of its own last
// change.
BOOST_AUTO_TEST_CASE(RowsPutTogetherAreStoredTogether)
{
    BOOST_TEST(rc::check("rows put together are stored together", [] {
        RowQueue queue;
        std::map<platform::RowName, std::optional<std::string>> stored;
        std::map<int, int> newest;
        auto isTaken = false;
        auto changes = 0;
        for (auto step : drawSteps()) {
            auto number = step % 3;
            if (step < 30) {
                auto both = std::to_string(++newest[number]);
                queue.put(
                    { { row(number, "first"), both }, { row(number, "second"), both } }, {}, step % 2 == 0);
            } else if (step < 50) {
                queue.put({ { row(number, "second"), fmt::format("{} {}", newest[number], ++changes) } }, {},
                    false);
            } else if (!isTaken) {
                isTaken = !queue.take(step % 2 == 0 ? 1 : 3, 1000).empty();
            } else {
                isTaken = false;
                if (step < 80) {
                    for (const auto& [record, entry] : queue.batch())
                        for (const auto& [name, value] : entry.rows)
                            stored[name] = value;
                    call(queue.commit());
                } else if (step < 90 && queue.batch().size() == 1) {
                    queue.setAside();
                } else {
                    queue.requeue();
                }
            }
            for (auto each : { 0, 1, 2 }) {
                auto first = stored[row(each, "first")].value_or("0");
                auto second = stored[row(each, "second")].value_or("0");
                RC_ASSERT(std::stoi(first) == std::stoi(second));
            }
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
