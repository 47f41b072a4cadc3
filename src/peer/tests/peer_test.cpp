#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "peer/wire.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

constexpr auto callTimeout = 20s;

PeerInfo somePeer()
{
    return { ProcessId("e1"), PeerRole::Entry, RegionId("n"), ZoneId("a"), "127.0.0.1:1", 3, VmId("vm1"),
        true };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Peer)

BOOST_AUTO_TEST_CASE(ExchangeCarriesRowsLoadsAndPeersBothWays)
{
    Exchange sent { somePeer(), { WallTime(5ms), 2 }, 11, 8 };
    sent.changes = { { { "config/a", "1", 4, OperationId("o"), true } }, 9 };
    sent.known = { somePeer() };
    sent.load = serve::PeerLoad { 7, TimePoint(3s), TimePoint(2s), { { VmId("w"), 2 } }, 4ms,
        { { VmId("v"), 3 } }, { { ServiceId("s"), 5 } }, { { VmId("x"), 6 } } };
    sent.listed = { { VmId("y"), true }, { VmId("z"), false } };
    Exchange received;
    auto server = PeerServer::start("127.0.0.1:0", { [&](const Exchange& message) {
        received = message;
        return message;
    } });
    BOOST_REQUIRE(server.has_value());

    PeerClient client;
    std::promise<Result<Exchange>> answer;
    client.exchange(
        (*server)->address(), sent, callTimeout, [&](auto result) { answer.set_value(std::move(result)); });
    auto result = answer.get_future().get();
    BOOST_REQUIRE(result.has_value());
    for (const auto& each : { received, *result }) {
        BOOST_TEST((each.from == sent.from));
        BOOST_TEST((each.stamp == sent.stamp));
        BOOST_TEST((each.changes.rows == sent.changes.rows));
        BOOST_TEST(each.version == 11U);
        BOOST_TEST(each.base == 8U);
        BOOST_TEST(each.changes.tableVersion == 9U);
        BOOST_TEST(each.load->incarnation == 7U);
        BOOST_TEST((each.load->sent == sent.load->sent && each.load->echo == sent.load->echo));
        BOOST_TEST((each.load->lent == sent.load->lent && each.load->lentFor == sent.load->lentFor));
        BOOST_TEST((each.load->borrowed == sent.load->borrowed));
        BOOST_TEST((each.load->wanted == sent.load->wanted));
        BOOST_TEST((each.load->leaving == sent.load->leaving));
        BOOST_TEST((each.listed == sent.listed));
        BOOST_TEST((each.known == sent.known));
    }
}

BOOST_AUTO_TEST_CASE(CallToUnreachablePeerIsNotRun)
{
    std::string address;
    {
        auto server = PeerServer::start("127.0.0.1:0", {});
        BOOST_REQUIRE(server.has_value());
        address = (*server)->address();
    }
    PeerClient client;
    auto result = client.confirmLeaving(address, { {}, VmId("v"), 1 }, callTimeout);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().outcome == Outcome::NotRun);
}

// The handler has started but does not return in time, so the caller cannot tell whether the call ran.
BOOST_AUTO_TEST_CASE(CallThatTimesOutMayHaveRun)
{
    std::promise<void> entered;
    std::promise<void> release;
    auto server = PeerServer::start("127.0.0.1:0", { {}, [&](const ConfirmQuestion&) {
                                                        entered.set_value();
                                                        release.get_future().wait();
                                                        return Confirmation {};
                                                    } });
    BOOST_REQUIRE(server.has_value());
    PeerClient client;
    auto result = client.confirmLeaving((*server)->address(), { {}, VmId("v"), 1 }, 500ms);
    entered.get_future().wait();
    release.set_value();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST(result.error().outcome == Outcome::MayHaveRun);
}

BOOST_AUTO_TEST_CASE(KeyAnswerSurvivesConversion)
{
    serve::KeyGrant grant { { ProcessId("p"), 7 }, 9 };
    KeyAnswer answer { { WallTime(1ms), 1 }, { serve::KeyKnowledge::Kept, grant },
        { 201, { { "A", "b" } }, std::string("x\0y", 3) } };
    peer::wire::KeyAnswer wire;
    peer::toWire(answer, wire);
    auto copy = peer::fromWire(wire);
    BOOST_TEST((copy.owner.knowledge == answer.owner.knowledge && copy.owner.movedTo == grant));
    BOOST_TEST(copy.answer.body == answer.answer.body);
    BOOST_TEST((copy.answer.headers == answer.answer.headers));
}

BOOST_AUTO_TEST_CASE(ConfirmationSurvivesConversion)
{
    const Confirmation sent { { WallTime(1ms), 1 }, 5, 3, 9, { somePeer() }, OperationId("o") };
    peer::wire::Confirmation wire;
    peer::toWire(sent, wire);
    auto copy = peer::fromWire(wire);
    BOOST_TEST((copy.stamp == sent.stamp && copy.row == sent.row && copy.dependents == sent.dependents));
    BOOST_TEST(copy.appliedVersion == sent.appliedVersion);
    BOOST_TEST(copy.inFlight == sent.inFlight);
    BOOST_TEST(copy.incarnation == sent.incarnation);
}

// Any bytes either fail to parse or convert to a message, without a crash.
RC_BOOST_PROP(AnyBytesParseOrFail, (const std::string& bytes))
{
    peer::wire::Exchange wire;
    if (wire.ParseFromString(bytes)) {
        auto message = peer::fromWire(wire);
        RC_ASSERT(message.changes.rows.size() == std::size_t(wire.rows_size()));
    }
}

BOOST_AUTO_TEST_SUITE_END()
