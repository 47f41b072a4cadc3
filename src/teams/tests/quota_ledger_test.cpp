#include "teams/quota_ledger.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::teams;
using namespace std::chrono_literals;

namespace {

const TeamId team { "t" };

// Two shards with a limit of ten tasks, and their rows.
struct TwoShards {
    TimePoint now { 1'000s };
    std::map<std::string, QuotaRow> rows;
    Version version { 0 };
    QuotaLedger first { 1 };
    QuotaLedger second { 1 };
    TeamUses uses;

    TwoShards()
    {
        configure(first, 0, 1, 10'000);
        configure(second, 1, 1, 10'000);
        for (int round = 0; round < 4; ++round)
            for (auto* ledger : { &first, &second })
                write(*ledger, {});
    }
    static void configure(QuotaLedger& ledger, std::uint32_t shard, std::int64_t version, std::int64_t cpu)
    {
        ledger.configure(version, { { team, {}, 1, { cpu, 0, 0 } } }, shard, 2);
        ledger.setFresh(true);
    }
    void perform(const QuotaWrite& write)
    {
        ++version;
        for (const auto& [key, value] : write.puts)
            rows[key] = { key, value, version, false };
    }
    void read(QuotaLedger& ledger)
    {
        for (const auto& [key, row] : rows)
            ledger.onRow(row);
        ledger.onRowsRead();
    }
    void write(QuotaLedger& ledger, const TeamUses& current)
    {
        now += 1s;
        read(ledger);
        if (auto write = ledger.propose(current, now)) {
            perform(*write);
            ledger.onWritten(QuotaWriteOutcome::Committed, version, now);
        }
        read(first);
        read(second);
    }
    static TeamUses held(std::int64_t used, std::int64_t heldBack)
    {
        return { { team, { { used, 0, 0 }, { heldBack, 0, 0 }, { 1'000, 0, 0 }, {} } } };
    }
    static bool mayUse(const QuotaLedger& ledger, std::int64_t cpu)
    {
        return ledger.mayStart(team, { cpu - 1'000, 0, 0 }, { 1'000, 0, 0 });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quota_ledger, TwoShards)

// Guards against a shard that starts more than its share.
BOOST_AUTO_TEST_CASE(AShardStartsWithinItsShare)
{
    BOOST_TEST(mayUse(first, 5'000));
    BOOST_TEST(!mayUse(first, 6'000));
}

// Guards against quota that stays unused in another shard.
BOOST_AUTO_TEST_CASE(UnusedQuotaIsGiven)
{
    write(first, held(5'000, 3'000));
    write(second, held(1'000, 0));
    BOOST_TEST(mayUse(first, 8'000));
    BOOST_TEST(!mayUse(second, 3'000));
    BOOST_TEST(first.ownShare(team).cpu + second.ownShare(team).cpu == wholeShare);
}

// Guards against a share that is used and given at the same time: the answer is lost, the write is not.
BOOST_AUTO_TEST_CASE(ATransferWithoutAnAnswerCountsAsMade)
{
    write(first, held(5'000, 3'000));
    now += 1s;
    auto transfer = second.propose(held(0, 0), now);
    BOOST_REQUIRE(transfer.has_value());
    BOOST_TEST(!mayUse(second, 3'000));
    second.onWritten(QuotaWriteOutcome::Unknown, 0, now);
    BOOST_TEST(!mayUse(second, 3'000));
    perform(*transfer);
    read(second);
    read(first);
    BOOST_TEST(mayUse(first, 8'000));
    BOOST_TEST(!mayUse(second, 3'000));
    BOOST_TEST(mayUse(second, 2'000));
}

// Guards against starts by rows that a write of the holder before may still change.
BOOST_AUTO_TEST_CASE(ANewHolderStartsNothingBeforeItsClaim)
{
    QuotaLedger next { 2 };
    configure(next, 0, 1, 10'000);
    read(next);
    BOOST_TEST(!mayUse(next, 1'000));
    write(next, {});
    BOOST_TEST(!mayUse(next, 1'000));
    read(next);
    BOOST_TEST(mayUse(next, 1'000));
    BOOST_TEST(first.isOutdated());
    BOOST_TEST(!mayUse(first, 1'000));
}

// Guards against starts beside what runs in another shard above its share of a limit that was cut.
BOOST_AUTO_TEST_CASE(WhatIsAboveTheShareAfterACutIsLeftRoomFor)
{
    configure(first, 0, 2, 6'000);
    BOOST_TEST(!mayUse(first, 2'000));
    configure(second, 1, 2, 6'000);
    write(second, held(5'000, 0));
    write(first, {});
    BOOST_TEST(mayUse(first, 1'000));
    BOOST_TEST(!mayUse(first, 2'000));
}

BOOST_AUTO_TEST_SUITE_END()
