#include "call_audit.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace fulmar;
using namespace fulmar::standin;

// One non-idempotent request that ran once: the caller's record and the target's record.
struct Observation {
    std::vector<Attempt> attempts { { "r", "r#0", "plans", false, ExchangeEnd::Answered, 200, "ran", "r",
        {} } };
    TargetRecord target { "t", 1, 1, 0, {}, { { "r", "r#0", "plans", "t", {} } } };

    [[nodiscard]] AuditReport report() const { return audit(attempts, { target }); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(call_audit)

BOOST_AUTO_TEST_CASE(correctCallIsCountedOnlyAsAnswered)
{
    const auto report = Observation().report();
    BOOST_TEST(report.attempts == 1U);
    BOOST_TEST(report.answeredWhole == 1U);
    BOOST_TEST(report.doubled + report.misrouted + report.untrueRefusals + report.untrueRan + report.cut
            + report.brokenAnswers + report.withoutOutcome
        == 0U);
}

BOOST_AUTO_TEST_CASE(secondRunOfANonIdempotentRequestIsDoubled)
{
    Observation observation;
    observation.target.runs.push_back({ "r", "r#1", "plans", "t", {} });
    BOOST_TEST(observation.report().doubled == 1U);
    observation.attempts.front().idempotent = true;
    BOOST_TEST(observation.report().doubled == 0U);
}

BOOST_AUTO_TEST_CASE(refusalOfAnAttemptThatRanIsUntrue)
{
    Observation observation;
    observation.attempts.front().status = 503;
    observation.attempts.front().outcome = "not-run";
    BOOST_TEST(observation.report().untrueRefusals == 1U);
    observation.target.runs.clear();
    BOOST_TEST(observation.report().untrueRefusals == 0U);
}

BOOST_AUTO_TEST_CASE(answerThatNoTargetGaveIsUntrue)
{
    Observation observation;
    observation.target.runs.clear();
    BOOST_TEST(observation.report().untrueRan == 1U);
}

BOOST_AUTO_TEST_CASE(foreignAnswerAndForeignServiceAreMisrouted)
{
    Observation observation;
    observation.attempts.front().answeredId = "other";
    observation.target.runs.front().service = "other";
    BOOST_TEST(observation.report().misrouted == 2U);
    BOOST_TEST(observation.report().answeredWhole == 0U);
}

BOOST_AUTO_TEST_CASE(truncatedBodyIsBrokenAndABrokenConnectionIsCut)
{
    Observation observation;
    observation.attempts.front().answeredId = requestIdOfAnswer(answerBody("r", "plans", 10).substr(0, 15));
    BOOST_TEST(observation.report().brokenAnswers == 1U);
    observation.attempts.front().end = ExchangeEnd::Cut;
    BOOST_TEST(observation.report().cut == 1U);
    BOOST_TEST(requestIdOfAnswer(answerBody("r", "plans", 10)) == "r");
}

BOOST_AUTO_TEST_CASE(callOfAnotherServiceAtATargetIsASwitch)
{
    Observation observation;
    BOOST_TEST(observation.report().serviceSwitches == 0U);
    observation.target.runs.push_back({ "s", "s#0", "sheets", "t", {} });
    observation.target.runs.push_back({ "r", "r#1", "plans", "t", {} });
    BOOST_TEST(observation.report().serviceSwitches == 2U);
}

BOOST_AUTO_TEST_CASE(mayHaveRunIsCountedByItsProblem)
{
    Observation observation;
    observation.attempts.front().outcome = "may-have-run";
    observation.attempts.front().problem = problemTitle(R"({"title":"store-unavailable"})");
    BOOST_TEST(observation.report().mayHaveRunByProblem.at("store-unavailable") == 1U);
    BOOST_TEST(problemTitle("id=r;end").empty());
}

BOOST_AUTO_TEST_SUITE_END()
