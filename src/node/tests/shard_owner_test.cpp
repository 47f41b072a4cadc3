#include "node/shard_owner.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;

BOOST_AUTO_TEST_SUITE(shard_owner)

// Calls queued during the restore must be answered if the shard is lost before the restore completes.
BOOST_AUTO_TEST_CASE(RepliesToQueuedCallsWhenTheShardIsLost)
{
    asio::io_context loop;
    platform::HttpClient http(loop);
    // Nothing listens at this address, so the shard is never restored.
    platform::StoreClient store(http, "127.0.0.1:1");
    platform::RunnerClient runners(http);
    platform::VmClient vms(http, "127.0.0.1:1");
    NodeMetrics metrics;
    ShardOwner::Hooks hooks { [] { return true; }, [] { return true; }, [] {}, [](TimePoint) {},
        [](const VmId&) { return true; } };
    std::optional<JobReply> reply;
    {
        ShardOwner owner(loop, { store, runners, vms, metrics }, {}, { "node", 1, 0, {}, {}, {}, {} },
            platform::RowCondition { { leaseTable, "s0", ownerKey }, 1 }, 1, hooks);
        owner.handle({ JobCallKind::Show, JobId("5c0e7a21d94b36f8"), "q", {}, 0 },
            [&](const JobReply& result) { reply = result; });
        BOOST_TEST(!reply.has_value());
    }
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(bool(reply->verdict == JobVerdict::NotHolder));
}

BOOST_AUTO_TEST_SUITE_END()
