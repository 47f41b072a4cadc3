#include "daemon/distribution.h"

#include "fleet/entry_row.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <memory>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint now(1000s);

PeerInfo makePeer(const std::string& id, PeerRole role, std::uint64_t incarnation = 1)
{
    return { ProcessId(id), role, RegionId("n"), ZoneId("a"), "127.0.0.1:" + id, incarnation,
        VmId("vm-" + id), false };
}

Changes rowAt(const std::string& key, Version version)
{
    return { { { key, std::to_string(version), version, OperationId("o"), false } }, version };
}

struct Node {
    explicit Node(const PeerInfo& info)
        : distribution(info, {}, [this] { lastVersion = distribution.version(); })
    {
    }
    Version lastVersion { 0 };
    Distribution distribution;
};

void exchange(Node& from, Node& to)
{
    auto address = to.distribution.self().address;
    auto reply = to.distribution.onRequest(from.distribution.makeRequest(address, now), now);
    from.distribution.onReply(address, reply, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DistributionOfConfiguration)

BOOST_AUTO_TEST_CASE(RegisteredEntryMayRouteOnceItsCopyHasItsOwnRow)
{
    Node reader(makePeer("t", PeerRole::Control));
    Node entry(makePeer("e", PeerRole::Entry, 3));
    reader.distribution.applyFromPlatform(rowAt("config/a", 5));
    entry.distribution.setRegistered();
    exchange(entry, reader);
    BOOST_TEST(entry.distribution.version() == 5U);
    BOOST_TEST(!entry.distribution.mayRoute());

    EntryRecord record { ProcessId("e"), VmId("vm-e"), "127.0.0.1:1", RegionId("n"), ZoneId("a"), "2" };
    for (Version version : { 6, 7 }) {
        reader.distribution.applyFromPlatform(
            { { { entryKey(record.process), encode(record), version, OperationId("o"), false } }, version });
        exchange(entry, reader);
        // The row of an earlier incarnation does not count.
        BOOST_TEST(entry.distribution.mayRoute() == (version == 7));
        record.incarnation = "3";
    }
    BOOST_TEST(entry.lastVersion == 7U);
}

BOOST_AUTO_TEST_CASE(UnregisteredEntryGetsItsCopyOnlyFromARegisteredEntryThatNamesIt)
{
    Node reader(makePeer("t", PeerRole::Control));
    Node registered(makePeer("e1", PeerRole::Entry));
    Node late(makePeer("e2", PeerRole::Entry));
    reader.distribution.applyFromPlatform(rowAt("config/a", 5));
    registered.distribution.setRegistered();
    exchange(registered, reader);

    exchange(late, reader);
    BOOST_TEST(late.distribution.version() == 0U);
    BOOST_TEST(!late.distribution.mayRoute());

    exchange(late, registered);
    BOOST_TEST(late.distribution.version() == 5U);
    BOOST_TEST(late.distribution.mayRoute());
    BOOST_TEST(registered.distribution.dependents().size() == 1U);

    late.distribution.setRegistered();
    exchange(late, registered);
    BOOST_TEST(registered.distribution.dependents().empty());
}

BOOST_AUTO_TEST_CASE(UnregisteredEntrySendsNoRows)
{
    Node registered(makePeer("e1", PeerRole::Entry));
    Node first(makePeer("e2", PeerRole::Entry));
    Node second(makePeer("e3", PeerRole::Entry));
    registered.distribution.setRegistered();
    registered.distribution.applyFromPlatform(rowAt("config/a", 5));
    exchange(first, registered);
    exchange(second, first);
    BOOST_TEST(second.distribution.version() == 0U);
}

// Guards against an incomplete replica: peers send a process that was replaced under the same address only
// the rows newer than its predecessor's version, and it must not apply them.
BOOST_AUTO_TEST_CASE(ReplacedProcessIgnoresRowsWithoutTheirBase)
{
    Node reader(makePeer("t", PeerRole::Control));
    Node other(makePeer("u", PeerRole::Control));
    reader.distribution.applyFromPlatform(rowAt("config/a", 5));
    exchange(reader, other);
    exchange(reader, other);
    reader.distribution.applyFromPlatform(rowAt("config/b", 6));

    Node replaced(makePeer("u", PeerRole::Control, 2));
    exchange(reader, replaced);
    BOOST_TEST(replaced.distribution.version() == 0U);
    exchange(reader, replaced);
    BOOST_TEST(replaced.distribution.replica().rows().size() == 2U);
}

BOOST_AUTO_TEST_CASE(PlatformRollbackDoesNotRevertTheReplica)
{
    Node reader(makePeer("t", PeerRole::Control));
    reader.distribution.applyFromPlatform(rowAt("config/a", 5));
    reader.distribution.applyFromPlatform(rowAt("config/a", 3));
    BOOST_TEST(reader.distribution.version() == 5U);
    BOOST_TEST(reader.distribution.replica().rows().at("config/a").value == "5");
}

// Random exchanges among processes, of which one reads the platform and the others are replaced at times. A
// process's version never decreases, a replica at a version has every row up to that version, and finally all
// replicas are complete.
RC_BOOST_PROP(ReplicasNeverGoBackAndAreComplete,
    (const std::vector<std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>>& steps))
{
    constexpr std::size_t count = 4;
    std::vector<std::unique_ptr<Node>> nodes;
    auto make = [](std::size_t index, std::uint64_t incarnation) {
        return std::make_unique<Node>(makePeer(fmt::format("t{}", index), PeerRole::Control, incarnation));
    };
    for (std::size_t index = 0; index < count; ++index)
        nodes.push_back(make(index, 1));
    std::map<std::string, Version> rowVersions;
    Version table = 0;
    auto check = [&] {
        for (const auto& node : nodes)
            for (const auto& [key, version] : rowVersions)
                if (version <= node->distribution.version())
                    RC_ASSERT(node->distribution.replica().rows().contains(key)
                        && node->distribution.replica().rows().at(key).version >= version);
    };
    std::uint64_t incarnation = 1;
    for (auto [action, a, b] : steps) {
        auto from = a % count;
        auto to = b % count;
        if (action % 8 == 0 && from != 0)
            nodes[from] = make(from, ++incarnation);
        else if (action % 8 < 3) {
            auto key = fmt::format("config/{}", b % 5);
            rowVersions[key] = ++table;
            nodes[0]->distribution.applyFromPlatform(rowAt(key, table));
        } else if (from != to) {
            auto before = nodes[from]->distribution.version();
            exchange(*nodes[from], *nodes[to]);
            RC_ASSERT(nodes[from]->distribution.version() >= before);
        }
        check();
    }
    for (std::size_t index = 1; index < count; ++index) {
        exchange(*nodes[index], *nodes[0]);
        RC_ASSERT(nodes[index]->distribution.version() == table);
    }
    check();
}

BOOST_AUTO_TEST_SUITE_END()
