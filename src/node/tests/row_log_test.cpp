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
    auto put = [&](const std::string& key) { log.put({ "t", "s0", key }, "value", [&] { ++stored; }); };
    auto runUntil = [&](auto isReached) {
        for (int i = 0; i < 100 && !isReached(); ++i)
            loop.run_for(20ms);
    };
    put("a");
    log.put({ "t", "s0", "b" }, std::string(200, 'x'), [&] { isLargeStored = true; });
    put("c");
    put("d");
    auto isReached = false;
    log.whenDurable([&] { isReached = true; });
    runUntil([&] { return stored == 3; });
    BOOST_TEST(stored == 3);
    // The row is given up once another one is stored after it, as the renewal of the lease is.
    BOOST_TEST(!isReached);
    log.putFirst({ "lease", "s0", "renewal" }, "1", [&] { ++stored; });
    runUntil([&] { return isReached; });
    BOOST_TEST(stored == 4);
    BOOST_TEST(isReached);
    BOOST_TEST(!isLargeStored);
    BOOST_TEST(log.unstoredRows() == 0U);
    BOOST_TEST(!log.isStoreUnavailable());
    // A later value that is as large is not sent; a smaller one is stored.
    log.put({ "t", "s0", "b" }, std::string(300, 'x'), [&] { isLargeStored = true; });
    BOOST_TEST(log.unstoredRows() == 0U);
    auto isSmallerStored = false;
    log.put({ "t", "s0", "b" }, "smaller", [&] { isSmallerStored = true; });
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
        log.put({ "t", "s0", key }, "value", [&] { ++stored; });
    auto isReached = false;
    log.whenDurable([&] { isReached = true; });
    loop.run_for(300ms);
    BOOST_TEST(!isReached);
    BOOST_TEST(log.unstoredRows() == 3U);
    log.stop();
}

BOOST_AUTO_TEST_SUITE_END()
