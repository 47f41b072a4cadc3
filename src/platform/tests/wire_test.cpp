#include "platform/wire.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace {

using namespace fulmar;

// Arbitrary text of characters below U+0100, in UTF-8.
rc::Gen<std::string> text()
{
    return rc::gen::map(rc::gen::container<std::vector<unsigned char>>(rc::gen::arbitrary<unsigned char>()),
        [](const std::vector<unsigned char>& characters) {
            std::string utf8;
            for (auto character : characters) {
                if (character >= 0x80)
                    utf8.push_back(static_cast<char>(0xc0 | (character >> 6)));
                utf8.push_back(static_cast<char>(character >= 0x80 ? 0x80 | (character & 0x3f) : character));
            }
            return utf8;
        });
}

Transaction anyTransaction()
{
    Transaction transaction { OperationId(*text()), {}, {} };
    for (int count = *rc::gen::inRange(0, 4); count > 0; --count) {
        transaction.conditions.push_back({ *text(), *rc::gen::arbitrary<Version>() });
        transaction.writes.push_back({ *text(), *text(), *rc::gen::arbitrary<bool>() });
    }
    return transaction;
}

bool areEqual(const Transaction& left, const Transaction& right)
{
    const auto conditions
        = [](const Condition& a, const Condition& b) { return a.key == b.key && a.version == b.version; };
    const auto writes = [](const Write& a, const Write& b) {
        return a.key == b.key && a.value == b.value && a.deletes == b.deletes;
    };
    return left.operation == right.operation
        && std::ranges::equal(left.conditions, right.conditions, conditions)
        && std::ranges::equal(left.writes, right.writes, writes);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_wire)

RC_BOOST_PROP(transactionSurvivesEncoding, ())
{
    const auto transaction = anyTransaction();
    RC_ASSERT(areEqual(wire::decodeTransaction(wire::encode(transaction).value()).value(), transaction));
}

RC_BOOST_PROP(rowsSurviveEncoding, ())
{
    const Changes changes { { { *text(), *text(), *rc::gen::arbitrary<Version>(), OperationId(*text()),
                                *rc::gen::arbitrary<bool>() } },
        *rc::gen::arbitrary<Version>() };
    const auto decoded = wire::decodeChanges(wire::encode(changes)).value();
    RC_ASSERT(decoded.rows == changes.rows);
    RC_ASSERT(decoded.tableVersion == changes.tableVersion);
}

// Replacing invalid bytes could turn two different keys into the same one.
BOOST_AUTO_TEST_CASE(textThatIsNotUtf8IsRejected)
{
    const Transaction transaction { OperationId("op"), {}, { { "key/\xff", "", false } } };
    const auto encoded = wire::encode(transaction);
    BOOST_TEST(encoded.error().reason == Reason::BadInput);
    BOOST_TEST(encoded.error().outcome == Outcome::NotRun);
}

BOOST_AUTO_TEST_CASE(truncatedOrUnknownTextIsRejected)
{
    const auto whole = wire::encode(Transaction { OperationId("op"), { { "k", 1 } }, {} }).value();
    for (std::size_t length = 0; length < whole.size(); ++length)
        BOOST_TEST(!wire::decodeTransaction(whole.substr(0, length)).has_value());
    BOOST_TEST(!wire::decodeTaskOrder(R"({"task":"t","order":"explode","operation":"o"})").has_value());
    BOOST_TEST(!wire::decodeVersion(R"({"version":"1"})").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
