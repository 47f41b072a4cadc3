#include "operate/language.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::operate;

namespace {

using Print = std::function<std::string(const Statement&)>;

// Any bytes, but at least one and few enough for a statement.
rc::Gen<std::string> names()
{
    return rc::gen::suchThat(rc::gen::resize(20, rc::gen::arbitrary<std::string>()),
        [](const std::string& name) { return !name.empty() && name.find('\0') == std::string::npos; });
}

template <typename T> std::optional<T> maybe(T low, T high)
{
    if (*rc::gen::arbitrary<bool>())
        return std::nullopt;
    return *rc::gen::inRange<T>(low, high);
}

std::optional<double> maybeShare()
{
    auto percent = maybe<int>(0, 1'000'001);
    return percent ? std::optional<double>(*percent / 1e6) : std::nullopt;
}

std::optional<bool> maybeFlag()
{
    auto flag = maybe<int>(0, 2);
    return flag ? std::optional<bool>(*flag == 1) : std::nullopt;
}

template <typename Tag> std::optional<Id<Tag>> maybeName()
{
    return *rc::gen::arbitrary<bool>() ? std::optional<Id<Tag>>() : Id<Tag>(*names());
}

EntityKind anyKind() { return EntityKind(*rc::gen::inRange(0, int(EntityKind::Move) + 1)); }

std::string anyField(Subject subject)
{
    auto fields = fieldsOf(subject);
    return std::string(fields[*rc::gen::inRange<std::size_t>(0, fields.size())].name);
}

Query anyQuery()
{
    Query query;
    query.subject = *rc::gen::elementOf(std::vector<Subject>(allSubjects().begin(), allSubjects().end()));
    query.count = *rc::gen::arbitrary<bool>();
    for (auto left = *rc::gen::inRange(0, 4); left > 0; --left)
        query.filters.push_back({ anyField(query.subject),
            Comparison(*rc::gen::inRange(0, int(Comparison::Contains) + 1)), *names() });
    if (query.count) {
        query.groupBy = *rc::gen::arbitrary<bool>() ? anyField(query.subject) : "";
        return query;
    }
    if (*rc::gen::arbitrary<bool>())
        query.order = Order { anyField(query.subject), *rc::gen::arbitrary<bool>() };
    query.limit = maybe<std::uint32_t>(0, 100'000);
    return query;
}

TimelineQuery anyTimeline()
{
    TimelineQuery query;
    if (*rc::gen::arbitrary<bool>())
        query.entity = Entity { anyKind(), *names() };
    if (*rc::gen::arbitrary<bool>())
        query.kind = *names();
    if (auto last = maybe<std::int64_t>(0, 1'000'000'000))
        query.last = std::chrono::milliseconds(*last);
    query.limit = maybe<std::uint32_t>(0, 100'000);
    return query;
}

ChangeService anyServiceChange()
{
    ChangeService change { ServiceId(*names()), *rc::gen::arbitrary<bool>(), {}, {}, {}, {}, {}, {} };
    change.pool = maybeName<PoolTag>();
    change.slots = maybe<std::uint32_t>(0, 10'000);
    change.connections = maybe<std::uint32_t>(0, 10'000);
    change.queueLimit = maybe<std::uint32_t>(0, 10'000);
    if (auto timeout = maybe<std::int64_t>(0, 1'000'000))
        change.timeout = std::chrono::milliseconds(*timeout);
    change.retryShare = maybeShare();
    return change;
}

ChangeJob anyJobChange()
{
    ChangeJob change { JobId(*names()), *rc::gen::arbitrary<bool>(), {}, {}, {}, {}, {}, {}, {}, {} };
    change.pool = maybeName<PoolTag>();
    change.team = maybeName<TeamTag>();
    change.processors = maybeShare();
    change.memoryMb = maybe<std::uint64_t>(0, 1'000'000);
    change.accelerators = maybe<std::uint32_t>(0, 100);
    if (auto seconds = maybe<std::int64_t>(0, 100'000))
        change.runTime = std::chrono::seconds(*seconds);
    change.idempotent = maybeFlag();
    change.urgent = maybeFlag();
    return change;
}

CommandBody anyBody()
{
    switch (*rc::gen::inRange(0, 13)) {
    case 0:
        return DrainVm { VmId(*names()) };
    case 1:
        return UndrainVm { VmId(*names()) };
    case 2:
        return MoveVm { VmId(*names()), PoolId(*names()) };
    case 3:
        return AssignVm { VmId(*names()), PoolId(*names()) };
    case 4:
        return QuarantineVm { VmId(*names()), *rc::gen::arbitrary<bool>() };
    case 5:
        return StartWave { PoolId(*names()) };
    case 6:
        return ControlWave { WaveId(*names()), WaveStep(*rc::gen::inRange(0, 3)) };
    case 7:
        return CancelTask { TaskId(*names()) };
    case 8:
        return CancelCommand { OperationId(*names()) };
    case 9:
        return ChangePool { PoolId(*names()), *rc::gen::arbitrary<bool>(), maybeShare(), maybeShare(),
            maybeShare(), maybeFlag() };
    case 10:
        return anyServiceChange();
    case 11:
        return anyJobChange();
    default:
        return ChangeQuota { TeamId(*names()), maybeShare(), maybe<std::uint64_t>(0, 1'000'000),
            maybe<std::uint32_t>(0, 100) };
    }
}

Statement anyStatement()
{
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return anyQuery();
    case 1:
        return WhyQuery { { anyKind(), *names() } };
    case 2:
        return anyTimeline();
    default:
        return Command { anyBody(), *rc::gen::arbitrary<bool>(),
            *rc::gen::arbitrary<bool>() ? std::string() : *names() };
    }
}

bool survives(const Statement& statement, const Print& print)
{
    auto text = print(statement);
    auto copy = parseStatement(text);
    return text.size() > maxStatementLength || (copy && *copy == statement);
}

// A statement of the language with some bytes changed, so that the deeper rules are reached too.
std::string mutated(std::string text)
{
    for (auto left = *rc::gen::inRange(0, 4); left > 0 && !text.empty(); --left)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size() + 1));
}

void checkAnyText(const std::string& text)
{
    auto statement = parseStatement(text);
    if (statement) {
        RC_ASSERT(survives(*statement, [](const Statement& each) { return toText(each); }));
        return;
    }
    RC_ASSERT(!statement.error().expected.empty());
    RC_ASSERT(statement.error().column >= 1);
    RC_ASSERT(statement.error().column <= text.size() + 1);
    RC_ASSERT(!formatSyntaxError(text, statement.error()).empty());
}

} // namespace

BOOST_AUTO_TEST_SUITE(LanguageProperties)

RC_BOOST_PROP(PrintedStatementsParseToTheSame, ())
{
    RC_ASSERT(survives(anyStatement(), [](const Statement& each) { return toText(each); }));
}

// The check must see a printer that leaves out quotes.
BOOST_AUTO_TEST_CASE(APrinterWithoutQuotesIsSeen)
{
    Statement statement = Command { DrainVm { VmId("v 1") }, false, {} };
    auto withoutQuotes = [](const Statement& each) {
        auto text = toText(each);
        std::erase(text, '"');
        return text;
    };
    BOOST_TEST(!survives(statement, withoutQuotes));
}

RC_BOOST_PROP(AnyTextGivesAStatementOrAClearError, (const std::string& text)) { checkAnyText(text); }

RC_BOOST_PROP(AlmostStatementsGiveAClearError, ()) { checkAnyText(mutated(toText(anyStatement()))); }

BOOST_AUTO_TEST_CASE(LongTextIsRefused)
{
    BOOST_TEST(!parseStatement("show vms where vm = " + std::string(maxStatementLength, 'x')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
