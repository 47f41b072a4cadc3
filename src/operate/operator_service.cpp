#include "operate/operator_service.h"

#include "operate/query.h"
#include "operate/timeline.h"
#include "operate/why.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fulmar::operate {

namespace {

using Json = nlohmann::json;

struct AnswerQuery {
    const OperatorView& view;
    WallTime now;

    Answer operator()(const Query& query) const { return runQuery(query, view, now); }
    Answer operator()(const WhyQuery& query) const { return explain(query.entity, view, now); }
    Answer operator()(const TimelineQuery& query) const { return timelineAnswer(query, view.events, now); }
    Answer operator()(const HelpQuery&) const { return sentence(AnswerStatus::Ok, languageHelp()); }
    Answer operator()(const Command&) const { return {}; }
};

} // namespace

Result<OperatorRequest> operatorRequestFromJson(const std::string& text)
try {
    auto json = Json::parse(text);
    OperatorRequest request;
    request.text = json.at("text").get<std::string>();
    request.origin.id = OperationId(json.value("id", std::string()));
    request.origin.who = json.value("who", std::string());
    if (json.contains("basedOn"))
        request.origin.basedOn = json.at("basedOn").get<Version>();
    request.dryRun = json.value("dryRun", false);
    return request;
} catch (const Json::exception& error) {
    return notRun(Reason::BadInput, fmt::format("not an operator's request: {}", error.what()));
}

std::string toJson(const OperatorRequest& request)
{
    Json json { { "text", request.text }, { "id", request.origin.id.value() }, { "who", request.origin.who },
        { "dryRun", request.dryRun } };
    if (request.origin.basedOn)
        json["basedOn"] = *request.origin.basedOn;
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

FactNeeds needsOf(const std::string& text)
{
    auto statement = parseStatement(text);
    if (!statement)
        return {};
    if (const auto* query = std::get_if<Query>(&*statement))
        return { false, query->subject == Subject::Tasks || query->subject == Subject::Workers,
            query->subject == Subject::Targets };
    if (std::holds_alternative<WhyQuery>(*statement))
        return { true, true, true };
    return { std::holds_alternative<TimelineQuery>(*statement), false, false };
}

std::variant<Answer, Command> answerStatement(
    const OperatorRequest& request, const OperatorView& view, WallTime now)
{
    auto statement = parseStatement(request.text);
    if (!statement)
        return sentence(AnswerStatus::BadStatement, formatSyntaxError(request.text, statement.error()));
    if (auto* command = std::get_if<Command>(&*statement)) {
        command->dryRun = command->dryRun || request.dryRun;
        if (request.origin.id.empty() || request.origin.who.empty())
            return sentence(AnswerStatus::BadStatement, "a command needs an id and the operator's name");
        return std::move(*command);
    }
    auto answer = std::visit(AnswerQuery { view, now }, *statement);
    answer.version = view.version;
    answer.age = view.age;
    answer.missingZones = view.missingZones;
    return answer;
}

Answer unreachableAnswer(const Failure& failure, bool mayHaveRun)
{
    if (mayHaveRun)
        return sentence(AnswerStatus::Unknown,
            fmt::format("the command may be recorded ({}); send it again with the same id to find out",
                failure.detail));
    return sentence(AnswerStatus::Unavailable,
        fmt::format("nothing was recorded: the platform's table cannot be used now ({})", failure.detail));
}

} // namespace fulmar::operate
