#include "node/job_call.h"
#include "node/shard_lease.h"
#include "node/shard_map.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(shard_lease)

BOOST_AUTO_TEST_CASE(AcquiresAFreeShardImmediatelyAndAHeldOneAfterItsLease)
{
    TimePoint now { 1'000s };
    ShardLease lease({ 3s, 300ms }, "a:1", 7);
    BOOST_TEST(!lease.shouldAcquire(now, 0ms));
    lease.observeOwner(std::nullopt, 0, now);
    BOOST_TEST(lease.shouldAcquire(now, 0ms));
    lease.observeOwner(LeaseOwner { "b:1", 3, 1 }, 5, now);
    lease.observeRenewal(6, now + 1s);
    BOOST_TEST(!lease.shouldAcquire(now + 3900ms, 0ms));
    BOOST_TEST(lease.shouldAcquire(now + 4s, 0ms));
    BOOST_TEST(lease.ownerAfterClaim().epoch == 2U);
}

// Without the grace period, the first process to reach the store after an outage takes every shard from its
// healthy holder, and may run it on a VM with an eighth of a core.
BOOST_AUTO_TEST_CASE(AHolderKeepsItsShardThroughAStoreOutage)
{
    TimePoint now { 1'000s };
    ShardLease lease({ 3s, 300ms }, "a:1", 7);
    lease.observeOwner(LeaseOwner { "b:1", 3, 1 }, 5, now);
    lease.observeRenewal(6, now + 1s);
    lease.observeStoreLost(now);
    now += 5s;
    // A claim in flight when the store recovers would come before the holder's renewal.
    BOOST_TEST(!lease.shouldAcquire(now, 0ms));
    lease.observeStoreRegained(now);
    BOOST_TEST(!lease.shouldAcquire(now + 1'700ms, 0ms));
    // A holder that died meanwhile is replaced soon after.
    BOOST_TEST(lease.shouldAcquire(now + 2'100ms, 0ms));
    // If the holder renews within the grace period instead, it keeps the shard.
    lease.observeRenewal(7, now + 1'700ms);
    BOOST_TEST(!lease.shouldAcquire(now + 4'600ms, 0ms));
    BOOST_TEST(lease.shouldAcquire(now + 4'700ms, 0ms));
}

// While the store recovers it may fail one more claim of each large process, as these claim first. If that
// granted lost holders another 2 s, small processes would acquire the shards.
BOOST_AUTO_TEST_CASE(AFailedClaimDoesNotRestartTheGracePeriod)
{
    TimePoint now { 1'000s };
    ShardLease lease({ 3s, 300ms }, "a:1", 7);
    lease.observeOwner(LeaseOwner { "b:1", 3, 1 }, 5, now);
    lease.observeStoreLost(now + 1s);
    lease.observeStoreRegained(now + 5s);
    BOOST_TEST(!lease.shouldAcquire(now + 6s, 0ms));
    lease.observeStoreLost(now + 6'500ms);
    BOOST_TEST(!lease.shouldAcquire(now + 6'600ms, 0ms));
    lease.observeStoreRegained(now + 6'900ms);
    BOOST_TEST(lease.shouldAcquire(now + 7'100ms, 0ms));
    // A long outage restarts it: the holder could not renew either.
    lease.observeStoreLost(now + 7'200ms);
    lease.observeStoreLost(now + 8'500ms);
    lease.observeStoreRegained(now + 8'600ms);
    BOOST_TEST(!lease.shouldAcquire(now + 9s, 0ms));
}

BOOST_AUTO_TEST_CASE(TheLeaseExpiresEarlierForItsHolderThanForOthers)
{
    TimePoint now { 1'000s };
    ShardLease lease({ 3s, 300ms }, "a:1", 7);
    lease.observeOwner(LeaseOwner { "a:1", 7, 1 }, 5, now);
    lease.onRenewed(now);
    BOOST_TEST(lease.isValid(now + 2600ms));
    BOOST_TEST(!lease.isValid(now + 2700ms));
    lease.observeOwner(LeaseOwner { "b:1", 3, 2 }, 8, now + 1s);
    BOOST_TEST(!lease.isValid(now + 1s));
}

BOOST_AUTO_TEST_CASE(ARestartedHolderReacquiresItsShardImmediately)
{
    TimePoint now { 1'000s };
    ShardLease lease({ 3s, 300ms }, "a:1", 8);
    lease.observeOwner(LeaseOwner { "a:1", 7, 4 }, 5, now);
    BOOST_TEST(!lease.isOwn());
    BOOST_TEST(lease.shouldAcquire(now, 200ms));
    BOOST_TEST(lease.ownerAfterClaim().epoch == 5U);
}

// A claim that took effect but whose answer was lost must not leave the shard without a holder.
BOOST_AUTO_TEST_CASE(RepeatsAClaimWhoseAnswerWasLost)
{
    TimePoint now { 1'000s };
    ShardLease lease({ 3s, 300ms }, "a:1", 8);
    lease.observeOwner(LeaseOwner { "a:1", 8, 1 }, 5, now);
    BOOST_TEST(lease.shouldAcquire(now, 200ms));
    BOOST_TEST(lease.ownerAfterClaim().epoch == 2U);
}

// A former holder that is partitioned from the store must not deny a job that its successor has accepted: the
// caller would treat its cancel as done while the job keeps running.
BOOST_AUTO_TEST_CASE(OnlyAHolderWithAValidLeaseDeniesAJob)
{
    BOOST_TEST(bool(unknownJobReply(true).verdict == JobVerdict::UnknownJob));
    BOOST_TEST(bool(unknownJobReply(false).verdict == JobVerdict::NotHolder));
}

// The count of consecutive hand-overs is kept in the lease row across holders; otherwise each holder would
// start without back-off.
BOOST_AUTO_TEST_CASE(CountsConsecutiveHandOversAcrossHolders)
{
    TimePoint now { 1'000s };
    ShardLease lease({ 3s, 300ms }, "a:1", 8);
    lease.observeOwner(LeaseOwner { "a:1", 8, 4, 1 }, 5, now);
    auto offered = lease.ownerAfterRelease(true, false);
    BOOST_TEST(bool(offered == LeaseOwner { "", 8, 4, 2 }));
    BOOST_TEST(lease.ownerAfterRelease(false, false).consecutiveHandOvers == 1U);
    // A holder that was stable for a while restarts the count.
    lease.observeOwner(LeaseOwner { "a:1", 8, 4, 3 }, 7, now);
    BOOST_TEST(lease.ownerAfterRelease(true, true).consecutiveHandOvers == 1U);
    ShardLease other({ 3s, 300ms }, "b:1", 9);
    other.observeOwner(offered, 6, now);
    BOOST_TEST(bool(other.ownerAfterClaim() == LeaseOwner { "b:1", 9, 5, 2 }));
    // Rows of earlier program versions have no count.
    BOOST_TEST(decodeOwner(R"({"address":"a:1","incarnation":1,"epoch":2})")->consecutiveHandOvers == 0U);
}

BOOST_AUTO_TEST_CASE(RowsRoundTrip)
{
    LeaseOwner owner { "10.0.0.1:70", 12345, 9, 2 };
    BOOST_TEST(bool(decodeOwner(encodeOwner(owner)) == owner));
    BOOST_TEST(!decodeOwner("{}").has_value());
    BOOST_TEST(!decodeOwner("nonsense").has_value());
    BOOST_TEST(decodeShardMap(encodeShardMap({ 3 }))->count == 3U);
    BOOST_TEST(!decodeShardMap("{\"shards\":0}").has_value());
    BOOST_TEST(shardMapFor(49).count == 1U);
    BOOST_TEST(shardMapFor(350).count == 3U);
    BOOST_TEST(shardMapFor(5'200).count == 43U);
}

BOOST_AUTO_TEST_SUITE_END()
