#include "io/message_meter.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fulmar;

namespace {

using Verdict = MessageMeter::Verdict;
const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string& unit, int times)
{
    std::string text;
    for (int i = 0; i < times; ++i)
        text += unit;
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(message_meter)

// Guards against bytes that cost more than is counted, whatever pieces they come in.
BOOST_AUTO_TEST_CASE(ChunksOfOneByteCountWhatTheServerKeepsOfThem)
{
    auto bytes = chunked + repeated("1\r\nx\r\n", 1'000);
    MessageMeter meter;
    for (auto byte : bytes)
        BOOST_TEST((meter.add({ &byte, 1 }, {}) == Verdict::Good));
    BOOST_TEST(meter.isMidRequest());
    BOOST_TEST(meter.heldBytes() >= 33'000U);
    BOOST_TEST((meter.add("0\r\n\r\nGET /b HTTP/1.1\r\n", {}) == Verdict::Good));
    BOOST_TEST(meter.completed() == 1U);
    BOOST_TEST(meter.completedBody() == 1'000U);
    meter.dropCompleted();
    BOOST_TEST(meter.isMidRequest());
    BOOST_TEST(meter.heldBytes() < 100U);
}

BOOST_AUTO_TEST_CASE(LimitsApplyToTheWholeHeadAndBody)
{
    const MessageLimits limits { 1'000, 100 };
    auto verdictOf = [&](const std::string& bytes) { return MessageMeter().add(bytes, limits); };
    BOOST_TEST((verdictOf(head + "Content-Length: 100\r\n\r\n" + std::string(100, 'x')) == Verdict::Good));
    BOOST_TEST((verdictOf(head + "Content-Length: 101\r\n\r\n") == Verdict::BodyTooLarge));
    BOOST_TEST((verdictOf(chunked + repeated("1\r\nx\r\n", 100)) == Verdict::Good));
    BOOST_TEST((verdictOf(chunked + repeated("1\r\nx\r\n", 101)) == Verdict::BodyTooLarge));
    BOOST_TEST((verdictOf(head + repeated("a: b\r\n", 490)) == Verdict::Good));
    BOOST_TEST((verdictOf(head + repeated("a: b\r\n", 501)) == Verdict::HeadTooLarge));
    BOOST_TEST((verdictOf(chunked + "0\r\n" + repeated("a: b\r\n", 501)) == Verdict::HeadTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()
