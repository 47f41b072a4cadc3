#include "operate/command_row.h"

#include "config/model.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fulmar::operate {

namespace {

using Json = nlohmann::json;

constexpr std::array states { CommandState::Waiting, CommandState::Running, CommandState::Done,
    CommandState::Refused, CommandState::Cancelled };

} // namespace

std::string_view toString(CommandState state)
{
    switch (state) {
    case CommandState::Waiting:
        return "waiting";
    case CommandState::Running:
        return "running";
    case CommandState::Done:
        return "done";
    case CommandState::Refused:
        return "refused";
    case CommandState::Cancelled:
        return "cancelled";
    }
    return "waiting";
}

std::string commandKey(const OperationId& id) { return keys::commandPrefix + id.value(); }

std::string encode(const CommandRow& row)
{
    return Json {
        { "command", row.id.value() },
        { "statement", row.statement },
        { "who", row.who },
        { "basedOn", row.basedOn },
        { "state", toString(row.state) },
        { "detail", row.detail },
        { "orderedMs", row.ordered.time_since_epoch().count() },
    }
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<CommandRow> decodeCommandRow(const std::string& text)
try {
    auto json = Json::parse(text);
    CommandRow row;
    row.id = OperationId(json.at("command").get<std::string>());
    row.statement = json.at("statement").get<std::string>();
    row.who = json.at("who").get<std::string>();
    row.basedOn = json.at("basedOn").get<Version>();
    row.detail = json.at("detail").get<std::string>();
    row.ordered = WallTime(std::chrono::milliseconds(json.at("orderedMs").get<std::int64_t>()));
    auto name = json.at("state").get<std::string>();
    const auto* state = std::find_if(
        states.begin(), states.end(), [&](CommandState each) { return toString(each) == name; });
    if (state == states.end())
        return notRun(Reason::BadInput, fmt::format("unknown command state {}", name));
    row.state = *state;
    return row;
} catch (const Json::exception& error) {
    return notRun(Reason::BadInput, fmt::format("not a command: {}", error.what()));
}

} // namespace fulmar::operate
