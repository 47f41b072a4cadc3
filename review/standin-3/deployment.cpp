#include "deployment.h"

#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <stdexcept>
#include <thread>
#include <unistd.h>

namespace fulmar::review3 {

namespace {

constexpr Millis tick { 10 };
constexpr Millis startTimeout { 20'000 };
constexpr Millis settleTime { 2'000 };
constexpr Millis deadline { 3'000 };
constexpr std::size_t firstNodeHost = 2;
constexpr std::size_t firstRunnerHost = 100;

std::string setting(const char* name)
{
    const auto* value = std::getenv(name);
    if (!value)
        throw std::runtime_error(std::string(name) + " is not set");
    return value;
}

std::string drawNetwork()
{
    auto process = unsigned(::getpid());
    return fmt::format("127.{}.{}.", 16 + process % 200, process / 200 % 250);
}

Json configuration()
{
    Json route { { "name", "r-plans" }, { "host", "office.example" }, { "path-prefix", "/plans/" },
        { "kind", "non_idempotent" }, { "timeout-ms", 3'000 }, { "target-latency-ms", 600 },
        { "priority", 0 }, { "service", "survey-ops" }, { "attempts", 4 }, { "stretch", 1.6 } };
    auto other = route;
    other["name"] = "r-routes";
    other["path-prefix"] = secondQueue;
    other["service"] = secondService;
    Json service { { "name", "survey-ops" }, { "health-path", "/health" }, { "max-conns", 64 },
        { "preconditions", false } };
    auto otherService = service;
    otherService["name"] = secondService;
    Json limits { { "max-header-bytes", 16'384 }, { "max-body-bytes", 262'144 },
        { "header-timeout-ms", 5'000 }, { "idle-timeout-ms", 60'000 } };
    return { { "version", 7 }, { "routes", Json::array({ route, other }) },
        { "services", Json::array({ service, otherService }) }, { "limits", limits } };
}

} // namespace

Deployment::Deployment(soak::Record& record, std::size_t nodes, std::size_t runners)
    : m_record(record)
    , m_network(drawNetwork())
    , m_store(m_network + "1")
    , m_fleet(m_store, record, {}, 1, m_network + "1")
    , m_machines(
          m_network + "1", 0, [this](const review::HttpRequest& request) { return answerMachines(request); })
{
    m_store.put("op", "config", configuration());
    for (std::size_t i = 0; i < runners; ++i)
        m_fleet.add(m_network + std::to_string(firstRunnerHost + i));
    soak::NodeFiles files { setting("PROGRAM"), setting("SETTINGS"), setting("FOLDER") };
    for (std::size_t i = 0; i < nodes; ++i)
        m_nodes.push_back(std::make_unique<soak::NodeProcess>(record, files, "front-" + std::to_string(i + 1),
            m_network + std::to_string(firstNodeHost + i), m_store.address(), m_machines.address()));
}

Deployment::~Deployment() { end(); }

void Deployment::addMachine(Json machine)
{
    std::lock_guard lock(m_mutex);
    m_otherMachines.push_back(std::move(machine));
}

// Each pool is one of other machines, so that every move is answered with 400.
review::HttpResponse Deployment::answerMachines(const review::HttpRequest& request)
{
    if (request.path != "/api/machines")
        return review::jsonResponse(400, Json::object());
    auto response
        = review::callHttp(m_fleet.machines(), "GET", request.path, { { "Host", "machines" } }, "", deadline);
    if (!response)
        return review::jsonResponse(503, Json::object());
    auto list = Json::parse(response->body);
    std::lock_guard lock(m_mutex);
    for (const auto& machine : m_otherMachines)
        list["machines"].push_back(machine);
    return review::jsonResponse(200, list);
}

void Deployment::start()
{
    m_fleet.begin();
    for (auto& node : m_nodes) {
        node->start();
        m_connections.push_back(std::make_unique<soak::Connection>(node->callers()));
    }
    for (auto& node : m_nodes)
        if (!runUntil(startTimeout, [&node] { return node->isReady(); }))
            throw std::runtime_error("a process does not get ready");
    m_record.write("all processes are ready");
    run(settleTime);
}

void Deployment::run(Millis duration)
{
    runUntil(duration, [] { return false; });
}

bool Deployment::runUntil(Millis longest, const std::function<bool()>& condition)
{
    auto until = Clock::now() + longest;
    while (Clock::now() < until) {
        while (!m_pending.empty() && m_pending.begin()->first <= Clock::now())
            m_pending.extract(m_pending.begin()).mapped()();
        for (auto& node : m_nodes)
            node->advance();
        if (condition())
            return true;
        std::this_thread::sleep_for(tick);
    }
    return false;
}

void Deployment::crash(std::size_t runner, Millis downFor)
{
    auto& crashing = m_fleet.runner(runner);
    crashing.crash();
    m_pending.emplace(Clock::now() + downFor, [&crashing] { crashing.start(crashing.id()); });
}

soak::Answer Deployment::call(const std::string& method, const std::string& path, const std::string& body)
{
    auto request = fmt::format("{} {} HTTP/1.1\r\nHost: office.example\r\nContent-Type: application/json\r\n"
                               "Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{}",
        method, path, deadline.count(), body.size(), body);
    auto answer = m_connections[m_next++ % m_connections.size()]->call(request, deadline);
    m_record.write(fmt::format("{} {} -> {} {}", method, path, answer.status, answer.body.substr(0, 80)));
    return answer;
}

long Deployment::submit(const std::string& job, const Json& body, const std::string& prefix)
{
    return call("POST", prefix + job, body.dump()).status;
}

long Deployment::cancel(const std::string& job, const std::string& prefix)
{
    return call("DELETE", prefix + job, "").status;
}

std::string Deployment::stateOf(const std::string& job, const std::string& prefix)
{
    auto answer = call("GET", prefix + job, "");
    auto body = Json::parse(answer.body, nullptr, false);
    if (answer.status == 0)
        return "";
    return answer.status == 200 && body.is_object() ? body.value("state", "") : std::to_string(answer.status);
}

const std::vector<soak::RunFact>& Deployment::end()
{
    m_pending.clear();
    m_nodes.clear();
    m_fleet.end();
    return m_fleet.state().runs;
}

bool hasTrouble()
{
    const auto* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

int playCase(const std::function<int(soak::Record&)>& play)
{
    try {
        soak::Record record(setting("CASE") + "/record.txt");
        auto result = play(record);
        record.write("exit " + std::to_string(result));
        return result;
    } catch (const std::exception& error) {
        std::cerr << "could not run: " << error.what() << "\n";
        return 2;
    }
}

} // namespace fulmar::review3
