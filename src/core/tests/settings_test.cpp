#include "core/settings.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Settings)

BOOST_AUTO_TEST_CASE(AllErrorsAreReportedWithTheirLines)
{
    auto reader = SettingsReader::fromText("[serve]\nqueue = many\ndeadline = 5x\nextra = 1\n", "a.ini");
    BOOST_TEST(reader.takeInteger("serve", "queue", 1, 100, 10) == 10);
    BOOST_TEST(reader.takeDuration("serve", "deadline", 1ms, 10s, 1s).count() == Duration(1s).count());
    BOOST_TEST(reader.takeString("serve", "zone").empty());

    auto errors = reader.finish();
    BOOST_REQUIRE(errors.size() == 4U);
    BOOST_TEST(errors[0].line == 2);
    BOOST_TEST(errors[1].line == 3);
    BOOST_TEST(errors[2].message == "[serve] zone is missing");
    BOOST_TEST(formatSettingsError(errors[3]) == "a.ini:4: [serve] extra is not a known key");
}

BOOST_AUTO_TEST_CASE(KeySetTwiceIsReported)
{
    auto reader = SettingsReader::fromText("[a]\nb = 1\nb = 2\n", "a.ini");
    BOOST_TEST(reader.takeInteger("a", "b", 0, 9, 0) == 1);
    BOOST_TEST(reader.finish().size() == 1U);
}

BOOST_AUTO_TEST_CASE(DurationsNeedAUnit)
{
    BOOST_TEST((parseDuration("250ms") == Duration(250ms)));
    BOOST_TEST((parseDuration("2d") == Duration(48h)));
    BOOST_TEST((parseDuration("1.5s") == Duration(1500ms)));
    BOOST_TEST(!parseDuration("250").has_value());
    BOOST_TEST(!parseDuration("-1s").has_value());
    BOOST_TEST(!parseDuration("9223372036854775807d").has_value());
}

BOOST_AUTO_TEST_CASE(AddressNeedsNumericHostAndPort)
{
    auto reader = SettingsReader::fromText("[a]\ngood = 127.0.0.1:80\nbad = localhost:80\n", "a.ini");
    BOOST_TEST(reader.takeAddress("a", "good") == "127.0.0.1:80");
    BOOST_TEST(reader.takeAddress("a", "bad") == "localhost:80");
    BOOST_TEST(reader.finish().size() == 1U);
}

RC_BOOST_PROP(AnyTextGivesAValueInRange, (const std::string& text))
{
    auto reader = SettingsReader::fromText(text, "x");
    auto value = reader.takeInteger("a", "b", 0, 9, 5);
    RC_ASSERT(value >= 0 && value <= 9);
}

BOOST_AUTO_TEST_SUITE_END()
