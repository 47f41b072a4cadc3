#include "node/row_log.h"

#include "fake_platform.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(row_log)

// Guards against a shard whose writes stop for good, as the store refuses every transaction with one row.
BOOST_AUTO_TEST_CASE(ARefusedRowHoldsUpNoOther)
{
    test::FakePlatform fake;
    fake.limitRows(100);
    asio::io_context loop;
    platform::HttpClient http(loop);
    platform::StoreClient store(http, fake.address());
    RowLog log(loop, store, { { "lease", "s0", "owner" }, 1 }, { [] {}, [](platform::CommitOutcome) {} });
    auto isLargeStored = false;
    auto stored = 0;
    auto put = [&](const std::string& key) {
        log.put({ { { "t", "s0", key }, "value" } }, [&] { ++stored; });
    };
    auto runUntil = [&](auto isReached) {
        for (int i = 0; i < 100 && !isReached(); ++i)
            loop.run_for(20ms);
    };
    put("a");
    put("c");
    put("d");
    log.put({ { { "t", "s0", "b" }, std::string(200, 'x') } }, [&] { isLargeStored = true; });
    auto isReached = false;
    log.whenDurable([&] { isReached = true; });
    runUntil([&] { return stored == 3; });
    BOOST_TEST(stored == 3);
    // The row is given up once another one is stored after it, as the renewal of the lease is.
    BOOST_TEST(!isReached);
    log.putFirst({ { "lease", "s0", "renewal" }, "1" }, [&] { ++stored; });
    runUntil([&] { return isReached; });
    BOOST_TEST(stored == 4);
    BOOST_TEST(isReached);
    BOOST_TEST(!isLargeStored);
    BOOST_TEST(log.unstoredRecords() == 0U);
    BOOST_TEST(!log.isStoreUnavailable());
    // A later value that is as large is not sent; a smaller one is stored.
    log.put({ { { "t", "s0", "b" }, std::string(300, 'x') } }, [&] { isLargeStored = true; });
    BOOST_TEST(log.unstoredRecords() == 0U);
    auto isSmallerStored = false;
    log.put({ { { "t", "s0", "b" }, "smaller" } }, [&] { isSmallerStored = true; });
    runUntil([&] { return isSmallerStored; });
    BOOST_TEST(isSmallerStored);
    BOOST_TEST(!isLargeStored);
    BOOST_TEST(fake.value("t", "s0", "b") == "smaller");
    log.stop();
}

// A store that refuses everything says nothing about a single row: none is given up.
BOOST_AUTO_TEST_CASE(NoRowIsGivenUpWhileNoneIsStored)
{
    test::FakePlatform fake;
    fake.limitRows(0);
    asio::io_context loop;
    platform::HttpClient http(loop);
    platform::StoreClient store(http, fake.address());
    RowLog log(loop, store, { { "lease", "s0", "owner" }, 1 }, { [] {}, [](platform::CommitOutcome) {} });
    auto stored = 0;
    for (const auto* key : { "a", "b", "c" })
        log.put({ { { "t", "s0", key }, "value" } }, [&] { ++stored; });
    auto isReached = false;
    log.whenDurable([&] { isReached = true; });
    loop.run_for(300ms);
    BOOST_TEST(!isReached);
    BOOST_TEST(log.unstoredRecords() == 3U);
    log.stop();
}

// Guards against rows that can no longer be written, as the lease is given up first when they are sent alone.
BOOST_AUTO_TEST_CASE(TheLeaseIsReleasedAfterAllRows)
{
    test::FakePlatform fake;
    fake.setFate([](const auto& changed) {
        return changed.size() > 1 ? test::TransactionFate::Refused : test::TransactionFate::Committed;
    });
    asio::io_context loop;
    platform::HttpClient http(loop);
    platform::StoreClient store(http, fake.address());
    RowLog log(loop, store, { { "lease", "s0", "owner" }, 1 }, { [] {}, [](platform::CommitOutcome) {} });
    for (const auto* key : { "a", "z", "b" })
        log.put({ { { "t", "s0", key }, "value" } }, {});
    auto isReleased = false;
    log.release("released", [&] { isReleased = true; });
    for (int i = 0; i < 100 && !isReleased; ++i)
        loop.run_for(20ms);
    BOOST_TEST(isReleased);
    auto history = fake.history();
    BOOST_REQUIRE_EQUAL(history.size(), 4U);
    BOOST_TEST(!history[2].contains({ "lease", "s0", "owner" }));
    log.stop();
}

// Guards against a record that can never be written again, as the store refused its removal.
BOOST_AUTO_TEST_CASE(AValueIsSentAfterARefusedRemoval)
{
    test::FakePlatform fake;
    fake.setFate([hasRefused = false](const auto& changed) mutable {
        auto isRefused = std::get<2>(changed.front()) == "a" && !std::exchange(hasRefused, true);
        return isRefused ? test::TransactionFate::Refused : test::TransactionFate::Committed;
    });
    asio::io_context loop;
    platform::HttpClient http(loop);
    platform::StoreClient store(http, fake.address());
    RowLog log(loop, store, { { "lease", "s0", "owner" }, 1 }, { [] {}, [](platform::CommitOutcome) {} });
    log.seed({ "t", "s0", "a" }, 1);
    auto stored = 0;
    auto putAndWait = [&](const std::string& key, std::optional<std::string> value) {
        auto before = stored;
        log.put({ { { "t", "s0", key }, std::move(value) } }, [&] { ++stored; });
        for (int i = 0; i < 10 && stored == before; ++i)
            loop.run_for(20ms);
    };
    putAndWait("a", std::nullopt);
    BOOST_TEST(stored == 0);
    putAndWait("b", "value");
    BOOST_TEST(stored == 1);
    BOOST_TEST(log.unstoredRecords() == 0U);
    putAndWait("a", "value");
    BOOST_TEST(stored == 2);
    BOOST_TEST(fake.value("t", "s0", "a") == "value");
    log.stop();
}

BOOST_AUTO_TEST_SUITE_END()
