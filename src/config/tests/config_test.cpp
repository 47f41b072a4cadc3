#include "config/model.h"
#include "config/replica.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;

BOOST_AUTO_TEST_SUITE(Config)

BOOST_AUTO_TEST_CASE(RecordsRoundTrip)
{
    VmRecord record { VmId("v1"), PoolId("p"), VmState::Leaving, "127.0.0.1:80", RegionId("r"), ZoneId("z"),
        RackId("k"), 7, "wave 3", WallTime(std::chrono::milliseconds(5)),
        WallTime(std::chrono::milliseconds(9)) };
    auto copy = decode<VmRecord>(encode(record));
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST(encode(*copy) == encode(record));
    BOOST_TEST(copy->lastMaintained.time_since_epoch().count() == 9);
}

BOOST_AUTO_TEST_CASE(AllErrorsOfARowAreListed)
{
    auto result = decode<ServiceConfig>(R"({"service":"","slotsPerTarget":0,"colour":"red"})");
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().detail
        == "service must not be empty; pool is missing; pool must not be empty; slotsPerTarget must be from "
           "1 to 1000; "
           "colour is not a known field");
}

RC_BOOST_PROP(ArbitraryTextIsRejected, (const std::string& text))
{
    RC_ASSERT(!decode<VmRecord>(text).has_value());
}

// Rows arrive late, twice and out of order; each row's version must never go down.
RC_BOOST_PROP(RowsNeverRevert, (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& arrivals))
{
    ConfigReplica replica;
    std::map<std::string, Version> highest;
    for (auto [key, version] : arrivals) {
        Row row { "config/" + std::to_string(key % 4), "{}", Version(version), {}, false };
        replica.apply({ { row }, row.version });
        highest[row.key] = std::max(highest[row.key], row.version);
        for (const auto& [name, known] : highest)
            RC_ASSERT(known == 0 || replica.rows().at(name).version == known);
    }
}

BOOST_AUTO_TEST_SUITE_END()
