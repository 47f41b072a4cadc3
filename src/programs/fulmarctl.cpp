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
  0  answered, or the command is done
  2  wrong options
  3  the statement is wrong, or names what does not exist
  4  nothing was done: another command overtook this one
  5  the command is recorded; it waits or runs
  6  nothing was recorded: no server, or no platform, could be reached
  7  the command may be recorded; send it again with the same --id to find out
)";

constexpr auto defaultServers = "127.0.0.1:7500";
constexpr std::chrono::milliseconds pollEvery { 500 };

struct Arguments {
    std::vector<std::string> servers;
    std::string statement;
    OperatorRequest request;
    std::chrono::milliseconds timeout {};
    std::chrono::milliseconds wait {};
    bool json { false };
    bool html { false };
};

// Tells commands of all operators apart.
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
    cxxopts::Options options("fulmarctl", "Asks and commands a fulmarramp fleet.");
    options.positional_help("STATEMENT");
    options.add_options()("servers", "operators' addresses of control or entry processes, tried in turn",
        cxxopts::value<std::vector<std::string>>()->default_value(defaultServers), "HOST:PORT,...")(
        "json", "print the answer as JSON")("html", "print a time line as a page for the browser")(
        "dry-run", "show what a command would do and change nothing")("timeout", "time for an answer",
        cxxopts::value<std::string>()->default_value("2s"),
        "DURATION")("wait", "follow a command until it ends, sending it again while nothing can record it",
        cxxopts::value<std::string>()->default_value("0s"), "DURATION")("id",
        "id of the command; give that of an earlier try to send it again", cxxopts::value<std::string>(),
        "ID")("based-on",
        "version of the answer that the command is based on; it is refused if another came since",
        cxxopts::value<Version>(), "VERSION")("who", "your name, kept with the command",
        cxxopts::value<std::string>(), "NAME")("h,help", "print this help and the whole language")(
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

// Throws std::exception where an option is wrong.
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
    // The servers have applied the window; after merging, the limit and the links count once more.
    auto merged = query;
    merged.last.reset();
    auto events = selectEvents(merged, collected.events, now);
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

bool mayChange(AnswerStatus status)
{
    return status == AnswerStatus::Waiting || status == AnswerStatus::Unavailable
        || status == AnswerStatus::Unknown;
}

// Sends the statement; a command that must wait is sent again, with the same id, until it has ended or the
// time is up. Sending it again has no second effect and tells its progress.
int sendStatement(const Arguments& arguments, bool isCommand)
{
    OperatorClient client(arguments.servers, arguments.timeout);
    auto deadline = std::chrono::steady_clock::now() + arguments.wait;
    auto answer = client.send(arguments.request);
    print(arguments, answer);
    std::string shown = answer.message;
    while (isCommand && mayChange(answer.status) && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollEvery);
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
