#include "peer/membership.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <list>
#include <set>

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

PeerInfo makePeer(
    const std::string& id, PeerRole role, const std::string& zone, std::uint64_t incarnation = 1)
{
    return { ProcessId(id), role, RegionId("n"), ZoneId(zone), "127.0.0.1:" + id, incarnation };
}

// Simulates processes that exchange in virtual time; a zone can be cut off from the others.
class Network {
public:
    void add(const PeerInfo& info, std::vector<std::string> seeds)
    {
        m_processes.emplace_back(info, MembershipSettings { std::move(seeds) });
    }

    void run(Duration length)
    {
        for (auto end = m_clock.now() + length; m_clock.now() < end; m_clock.advance(50ms))
            for (auto& process : m_processes)
                for (const auto& address : process.due(m_clock.now()))
                    exchange(process, address);
    }

    void cut(const std::string& zone) { m_cut.insert(ZoneId(zone)); }
    void heal() { m_cut.clear(); }

    std::size_t liveEntries(std::size_t index, const std::string& zone)
    {
        return std::next(m_processes.begin(), std::ptrdiff_t(index))
            ->live(PeerRole::Entry, ZoneId(zone), m_clock.now())
            .size();
    }

    void remove(const std::string& id)
    {
        std::erase_if(m_processes, [&](auto& each) { return each.self().process.value() == id; });
    }

    std::size_t exchanges() const { return m_exchanges; }
    std::size_t gossipedPeers() const { return m_gossipedPeers; }

private:
    void exchange(Membership& from, const std::string& address)
    {
        for (auto& to : m_processes) {
            bool isCut = from.self().zone != to.self().zone
                && (m_cut.contains(from.self().zone) || m_cut.contains(to.self().zone));
            if (to.self().address != address || isCut)
                continue;
            ++m_exchanges;
            to.onContact(from.self(), m_clock.now());
            deliverGossip(to, from.gossipFor(to.self().address, m_clock.now()));
            from.onContact(to.self(), m_clock.now());
            deliverGossip(from, to.gossipFor(from.self().address, m_clock.now()));
        }
    }

    void deliverGossip(Membership& process, const std::vector<PeerInfo>& gossip)
    {
        m_gossipedPeers += gossip.size();
        process.onGossip(gossip, m_clock.now());
    }

    ManualClock m_clock;
    std::list<Membership> m_processes;
    std::set<ZoneId> m_cut;
    std::size_t m_exchanges { 0 };
    std::size_t m_gossipedPeers { 0 };
};

Network threeZones()
{
    Network network;
    for (const auto* zone : { "a", "b", "c" })
        for (int index = 0; index < 3; ++index) {
            network.add(
                makePeer(fmt::format("{}e{}", zone, index), PeerRole::Entry, zone), { "127.0.0.1:ae0" });
            network.add(
                makePeer(fmt::format("{}t{}", zone, index), PeerRole::Control, zone), { "127.0.0.1:ae0" });
        }
    return network;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipOfPeers)

BOOST_AUTO_TEST_CASE(ProcessesDiscoverEachOtherThroughOneSeed)
{
    auto network = threeZones();
    network.run(5s);
    for (std::size_t index = 0; index < 18; ++index)
        for (const auto* zone : { "a", "b", "c" })
            BOOST_TEST(network.liveEntries(index, zone) == 3U);
}

BOOST_AUTO_TEST_CASE(PartitionedZoneKeepsItsMembersAndRejoins)
{
    auto network = threeZones();
    network.run(5s);
    network.cut("b");
    network.run(20s);
    BOOST_TEST(network.liveEntries(0, "b") == 0U);
    BOOST_TEST(network.liveEntries(0, "a") == 3U);
    BOOST_TEST(network.liveEntries(6, "b") == 3U);
    network.heal();
    network.run(5s);
    BOOST_TEST(network.liveEntries(0, "b") == 3U);
}

BOOST_AUTO_TEST_CASE(DeadProcessStopsCountingAsLiveDespiteGossip)
{
    auto network = threeZones();
    network.run(5s);
    network.remove("ae1");
    network.run(8s);
    BOOST_TEST(network.liveEntries(0, "a") == 2U);
}

// Ten zones of eight entries and eight control processes discover each other. The number of peers reported to
// a process per second is bounded by the size of its zone, not by the number of zones.
BOOST_AUTO_TEST_CASE(GossipDoesNotGrowWithTheNumberOfZones)
{
    Network network;
    for (char zone = 'a'; zone < 'k'; ++zone)
        for (int index = 0; index < 8; ++index) {
            network.add(
                makePeer(fmt::format("{}e{}", zone, index), PeerRole::Entry, { zone }), { "127.0.0.1:ae0" });
            network.add(makePeer(fmt::format("{}t{}", zone, index), PeerRole::Control, { zone }),
                { "127.0.0.1:ae0" });
        }
    network.run(20s);
    for (std::size_t index = 0; index < 160; index += 37)
        for (char zone = 'a'; zone < 'k'; ++zone)
            BOOST_TEST(network.liveEntries(index, { zone }) == 8U);
    auto before = network.gossipedPeers();
    network.run(10s);
    // Each second a process reports at most 16 + 6 processes to each of the 15 others of its zone, and at
    // most 32 + 6 (both zones' processes, and 6 more) to about two processes of other zones.
    constexpr std::size_t boundPerProcess = 10 * (15 * (16 + 6) + 2 * (32 + 6));
    BOOST_TEST(network.gossipedPeers() - before <= 160 * boundPerProcess);
}

BOOST_AUTO_TEST_CASE(OldIncarnationIsIgnored)
{
    Membership membership(makePeer("x", PeerRole::Entry, "a"), {});
    TimePoint now(1000s);
    membership.onContact(makePeer("y", PeerRole::Entry, "a", 5), now);
    membership.onGossip({ makePeer("y", PeerRole::Entry, "a", 4) }, now + 1s);
    BOOST_TEST(membership.find(ProcessId("y"))->incarnation == 5U);
}

// Only one entry of a pair starts the exchange, so a zone of n entries makes about n(n-1)/2 exchanges per
// period instead of n(n-1).
BOOST_AUTO_TEST_CASE(PairsOfEntriesExchangeOncePerPeriod)
{
    Network network;
    for (int index = 0; index < 8; ++index)
        network.add(makePeer(fmt::format("e{}", index), PeerRole::Entry, "a"), { "127.0.0.1:e0" });
    network.run(5s);
    auto before = network.exchanges();
    network.run(10s);
    constexpr std::size_t periods = 40;
    BOOST_TEST(network.exchanges() - before <= periods * 28);
    BOOST_TEST(network.exchanges() - before >= (periods - 1) * 28);
}

BOOST_AUTO_TEST_SUITE_END()
