#include "core/settings.h"
#include "operate/language.h"
#include "operate/operator_client.h"
#include "operate/timeline.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <iostream>
#include <random>
#include <thread>

using namespace fulmar;
using namespace fulmar::operate;

namespace {

enum ExitCode : int {
    ExitOk = 0,
    ExitUsage = 2,
    ExitBadStatement = 3,
    ExitConflict = 4,
    ExitWaiting = 5,
    ExitUnavailable = 6,
    ExitUnknown = 7,
};

constexpr auto exitCodes = R"(
Exit codes
  0  the query was answered, or the command is done
  2  wrong options
  3  the statement is invalid, or names something that does not exist
  4  nothing was done: another command was recorded first
  5  the command is recorded, and is waiting or running
  6  nothing was recorded: no server, or no platform, could be reached
  7  the command may have been recorded; send it again with the same --id to find out
)";

constexpr auto defaultServers = "127.0.0.1:7500";
constexpr std::chrono::milliseconds pollInterval { 500 };

struct Arguments {
    std::vector<std::string> servers;
    std::string statement;
    OperatorRequest request;
    std::chrono::milliseconds timeout {};
    std::chrono::milliseconds wait {};
    bool json { false };
    bool html { false };
};

// Random, so that the ids of different operators' commands differ.
OperationId newCommandId()
{
    std::random_device random;
    return OperationId(fmt::format("c{:08x}{:08x}", random(), random()));
}

int exitCodeOf(AnswerStatus status)
{
    switch (status) {
    case AnswerStatus::Ok:
        return ExitOk;
    case AnswerStatus::BadStatement:
        return ExitBadStatement;
    case AnswerStatus::Conflict:
        return ExitConflict;
    case AnswerStatus::Waiting:
        return ExitWaiting;
    case AnswerStatus::Unavailable:
        return ExitUnavailable;
    case AnswerStatus::Unknown:
        return ExitUnknown;
    }
    return ExitUnknown;
}

cxxopts::Options options()
{
    cxxopts::Options options("fulmarctl", "Queries and commands a fulmarramp fleet.");
    options.positional_help("STATEMENT");
    options.add_options()("servers", "operator addresses of control or entry processes, tried in order",
        cxxopts::value<std::vector<std::string>>()->default_value(defaultServers),
        "HOST:PORT,...")("json", "print the answer as JSON")("html", "print a timeline as an HTML page")(
        "dry-run", "show what a command would do, without doing it")("timeout", "time-out for an answer",
        cxxopts::value<std::string>()->default_value("2s"),
        "DURATION")("wait", "how long to wait for a command to end; it is resent with the same id until then",
        cxxopts::value<std::string>()->default_value("0s"), "DURATION")("id",
        "id of the command; give the id of an earlier attempt to resend it", cxxopts::value<std::string>(),
        "ID")("based-on",
        "version shown by the answer on which the command is based; the command is refused if a later "
        "command on the same object is recorded",
        cxxopts::value<Version>(), "VERSION")("who", "your name, recorded with the command",
        cxxopts::value<std::string>(), "NAME")("h,help", "print this help and the statement language")(
        "statement", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("statement");
    return options;
}

std::string operatorName(const cxxopts::ParseResult& parsed)
{
    if (parsed.count("who"))
        return parsed["who"].as<std::string>();
    const char* user = std::getenv("USER");
    return user && *user ? user : "unknown";
}

std::chrono::milliseconds durationOf(const cxxopts::ParseResult& parsed, const char* name)
{
    auto duration = parseDuration(parsed[name].as<std::string>());
    if (!duration)
        throw std::invalid_argument(fmt::format("--{}: {}", name, duration.error()));
    return std::chrono::duration_cast<std::chrono::milliseconds>(*duration);
}

// Throws std::exception if an option is invalid.
Arguments argumentsOf(const cxxopts::ParseResult& parsed)
{
    if (!parsed.count("statement"))
        throw std::invalid_argument("a statement is missing; see fulmarctl --help");
    Arguments arguments;
    arguments.servers = parsed["servers"].as<std::vector<std::string>>();
    arguments.statement
        = fmt::format("{}", fmt::join(parsed["statement"].as<std::vector<std::string>>(), " "));
    arguments.timeout = durationOf(parsed, "timeout");
    arguments.wait = durationOf(parsed, "wait");
    arguments.json = parsed.count("json") > 0;
    arguments.html = parsed.count("html") > 0;
    auto& request = arguments.request;
    request.text = arguments.statement;
    request.dryRun = parsed.count("dry-run") > 0;
    request.origin.id = parsed.count("id") ? OperationId(parsed["id"].as<std::string>()) : newCommandId();
    request.origin.who = operatorName(parsed);
    if (parsed.count("based-on"))
        request.origin.basedOn = parsed["based-on"].as<Version>();
    return arguments;
}

void print(const Arguments& arguments, const Answer& answer)
{
    std::cout << (arguments.json ? toJson(answer) + "\n" : formatForPeople(answer)) << std::flush;
}

int showTimeline(const Arguments& arguments, const TimelineQuery& query)
{
    OperatorClient client(arguments.servers, arguments.timeout);
    auto collected = client.collectTimeline(arguments.statement);
    auto now = std::chrono::time_point_cast<WallTime::duration>(std::chrono::system_clock::now());
    // The servers have applied the time window. The limit and the entity's links must be applied again, to
    // the merged events.
    auto mergedQuery = query;
    mergedQuery.last.reset();
    auto events = selectEvents(mergedQuery, collected.events, now);
    if (arguments.html)
        std::cout << timelineHtml(events, arguments.statement);
    else if (arguments.json)
        std::cout << timelineJson(events) << '\n';
    else
        std::cout << timelineText(events);
    for (const auto& server : collected.silentServers)
        std::cerr << "no events from " << server << '\n';
    return collected.silentServers.size() == arguments.servers.size() ? ExitUnavailable : ExitOk;
}

bool shouldResend(AnswerStatus status)
{
    return status == AnswerStatus::Waiting || status == AnswerStatus::Unavailable
        || status == AnswerStatus::Unknown;
}

// Sends the statement. A command is resent with the same id until it ends or --wait is over; resending has no
// further effect and returns the command's progress.
int sendStatement(const Arguments& arguments, bool isCommand)
{
    OperatorClient client(arguments.servers, arguments.timeout);
    auto deadline = std::chrono::steady_clock::now() + arguments.wait;
    auto answer = client.send(arguments.request);
    print(arguments, answer);
    std::string shown = answer.message;
    while (isCommand && shouldResend(answer.status) && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        answer = client.send(arguments.request);
        if (answer.message != shown)
            print(arguments, answer);
        shown = answer.message;
    }
    return exitCodeOf(answer.status);
}

int run(int argc, char** argv)
{
    auto all = options();
    auto parsed = all.parse(argc, argv);
    if (parsed.count("help")) {
        std::cout << all.help() << exitCodes << '\n' << languageHelp();
        return ExitOk;
    }
    auto arguments = argumentsOf(parsed);
    auto statement = parseStatement(arguments.statement);
    if (!statement) {
        std::cerr << formatSyntaxError(arguments.statement, statement.error()) << '\n';
        return ExitBadStatement;
    }
    if (std::holds_alternative<HelpQuery>(*statement)) {
        std::cout << languageHelp();
        return ExitOk;
    }
    if (const auto* query = std::get_if<TimelineQuery>(&*statement))
        return showTimeline(arguments, *query);
    return sendStatement(arguments, std::holds_alternative<Command>(*statement));
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "fulmarctl: " << error.what() << '\n';
        return ExitUsage;
    }
}
