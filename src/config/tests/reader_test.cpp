#include "config/config_reader.h"
#include "config/validation.h"
#include "faulty_platform.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::standin;

namespace {

using Reader = ConfigReader<FaultyPlatform, ManualClock>;

// A process that reads the platform and gets changes from peers; its platform calls can fail.
struct Zone {
    Zone(PlatformState& state, const ManualClock& clock, const std::string& name)
        : platform(state)
        , reader(platform, clock, name)
    {
    }

    void poll()
    {
        if (auto read = reader.poll(replica.version(), [this] { return replica; }))
            replica.apply(read->changes);
    }

    FaultyPlatform platform;
    Reader reader;
    ConfigReplica replica;
};

// Three zones on one platform. Without `restores` the reader does not restore lost rows, and without
// `checksVersions` rows can revert; both show that the tests detect the failure.
class Region {
public:
    explicit Region(bool restores = true, bool checksVersions = true)
        : m_restores(restores)
        , m_checksVersions(checksVersions)
    {
        for (int each = 0; each < 3; ++each)
            zones.push_back(std::make_unique<Zone>(state, clock, fmt::format("z{}", each)));
    }

    void act(std::uint8_t action, std::uint8_t argument)
    {
        auto& zone = *zones[argument % 3];
        auto& peer = *zones[(argument + 1) % 3];
        clock.advance(std::chrono::milliseconds(100));
        switch (action % 6) {
        case 0:
            write(fmt::format("config/team/{}", argument % 4));
            break;
        case 1:
            poll(zone);
            break;
        case 2:
            apply(zone, peer.replica.changesSince(zone.replica.version()));
            break;
        case 3:
            zone.platform.addFault(CallFault(1 + argument % 3));
            break;
        case 4:
            if (argument % 4 == 0)
                state.table.restoreTo(
                    state.table.version() - std::min<Version>(state.table.version(), argument % 8));
            break;
        case 5:
            // A restart, with the replica of a peer.
            if (argument % 4 == 0) {
                zones[argument % 3] = std::make_unique<Zone>(state, clock, fmt::format("r{}", ++m_restarts));
                apply(*zones[argument % 3], peer.replica.changesSince(0));
            }
            break;
        }
    }

    void settle()
    {
        for (auto& zone : zones)
            zone->platform.clearFaults();
        for (int round = 0; round < 8; ++round)
            for (auto& zone : zones) {
                clock.advance(Reader::fullReadInterval);
                poll(*zone);
            }
    }

    // Describes the first difference between a zone and the table; empty if there is none.
    std::string difference() const
    {
        auto table = state.table.read(keys::configPrefix, 0).rows;
        for (const auto& zone : zones) {
            std::size_t known = 0;
            for (const auto& row : table) {
                auto position = zone->replica.rows().find(row.key);
                if (position == zone->replica.rows().end() || position->second.value != row.value)
                    return row.key + " differs";
                ++known;
            }
            if (known != zone->replica.rows().size())
                return "a zone has rows that the table lacks";
        }
        return {};
    }

    void write(const std::string& key)
    {
        auto value = std::to_string(++m_values);
        (void)state.table.commit({ OperationId("w" + value), {}, { { key, value, false } } });
    }

    bool rolledBack { false };
    PlatformState state;
    ManualClock clock;
    std::vector<std::unique_ptr<Zone>> zones;

private:
    void poll(Zone& zone)
    {
        if (m_restores)
            zone.poll();
        else if (auto changes = zone.platform.read(keys::configPrefix, 0))
            apply(zone, *changes);
    }

    void apply(Zone& zone, const Changes& changes)
    {
        auto before = zone.replica.rows();
        if (!m_checksVersions) {
            ConfigReplica stale;
            stale.apply(changes);
            zone.replica = stale;
        } else {
            zone.replica.apply(changes);
        }
        for (const auto& [key, row] : before)
            rolledBack = rolledBack || !zone.replica.rows().contains(key)
                || zone.replica.rows().at(key).version < row.version;
    }

    bool m_restores;
    bool m_checksVersions;
    std::uint64_t m_values { 0 };
    int m_restarts { 0 };
};

using Schedule = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

Row teamRow(const std::string& name)
{
    TeamConfig team;
    team.team = TeamId(name);
    return { keys::teamPrefix + name, encode(team), 1, {}, false };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reader)

// Whatever rows the platform loses, no zone's rows revert, and in the end all zones and the table agree.
RC_BOOST_PROP(ZonesAndTableAgreeAfterAnySchedule, (const Schedule& schedule))
{
    Region region;
    for (auto [action, argument] : schedule)
        region.act(action, argument);
    region.settle();
    RC_ASSERT(region.difference().empty());
    RC_ASSERT(!region.rolledBack);
}

BOOST_AUTO_TEST_CASE(LostRowsAreCommittedAgainAndLaterChangesReplaceThem)
{
    Region region;
    for (int each = 0; each < 100; ++each)
        region.write("config/team/a");
    region.zones[0]->poll();
    auto before = region.zones[0]->replica.rows().at("config/team/a");
    region.state.table.restoreTo(10);
    region.zones[0]->poll();
    region.zones[0]->poll();
    auto after = region.state.table.read("config/team/a", 0).rows.at(0);
    BOOST_TEST(after.value == before.value);
    region.write("config/team/a");
    region.zones[0]->poll();
    BOOST_TEST(region.zones[0]->replica.rows().at("config/team/a").value == "101");
    // The restoration takes one commit, however many versions were lost.
    BOOST_TEST(region.state.table.version() == 12);
}

BOOST_AUTO_TEST_CASE(WithoutRestorationZonesAndTableDiffer)
{
    Region region(false);
    for (int each = 0; each < 5; ++each)
        region.write("config/team/a");
    region.settle();
    region.state.table.restoreTo(2);
    region.settle();
    BOOST_TEST(!region.difference().empty());
}

BOOST_AUTO_TEST_CASE(WithoutVersionCheckAZoneReverts)
{
    Region region(true, false);
    region.write("config/team/a");
    region.zones[0]->poll();
    region.write("config/team/a");
    region.zones[1]->poll();
    region.zones[0]->poll();
    region.act(2, 2);
    region.act(2, 1);
    BOOST_TEST(region.rolledBack);
}

BOOST_AUTO_TEST_CASE(BadChangeIsRejectedWithAllErrors)
{
    ServiceConfig service;
    service.service = ServiceId("s");
    service.pool = PoolId("nowhere");
    auto result = validateChange({},
        { { "config/service/s", encode(service), false }, { "config/team/b", teamRow("c").value, false },
            { "config/pool/p", "{}", false }, { "config/vm/v", "{}", false }, { "colour", "red", false },
            { "config/team/gone", "", true } });
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().detail
        == "config/team/gone is to be deleted but does not exist; colour is not a configuration key; "
           "config/pool/p: pool is missing; pool must not be empty; config/team/b carries the name c; "
           "config/vm/v can be changed by commands only; "
           "config/service/s refers to config/pool/nowhere, which does not exist");
}

BOOST_AUTO_TEST_CASE(DeletingAReferencedRowIsRejected)
{
    JobConfig job;
    job.job = JobId("j");
    job.pool = PoolId("p");
    job.team = TeamId("t");
    PoolConfig pool;
    pool.pool = PoolId("p");
    std::map<std::string, Row> rows { { "config/team/t", teamRow("t") },
        { "config/pool/p", { "config/pool/p", encode(pool), 2, {}, false } },
        { "config/job/j", { "config/job/j", encode(job), 3, {}, false } } };
    auto result = validateChange(rows, { { "config/team/t", "", true } });
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().detail == "config/job/j refers to config/team/t, which does not exist");
    BOOST_TEST(
        validateChange(rows, { { "config/job/j", "", true }, { "config/team/t", "", true } }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
