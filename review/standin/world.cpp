#include "world.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr auto program = "target/src/programs/fulmarramp";
constexpr auto settingsTemplate = "deploy/node.ini";
constexpr auto host = "office.example";
constexpr auto prefix = "/plans/";
constexpr auto pool = "survey-ops";
constexpr Millis deadline { 3'000 };
constexpr Millis startTimeout { 20'000 };
constexpr int attemptsPerSubmission = 5;
constexpr Millis pauseBetweenAttempts { 300 };
constexpr Millis statePause { 250 };

std::string filled(const std::map<std::string, std::string>& values)
{
    std::ifstream file(settingsTemplate);
    std::stringstream content;
    content << file.rdbuf();
    auto text = content.str();
    for (std::size_t begin = 0; (begin = text.find("{{")) != std::string::npos;) {
        auto end = text.find("}}", begin);
        text.replace(begin, end + 2 - begin, values.at(text.substr(begin + 2, end - begin - 2)));
    }
    return text;
}

Json configuration()
{
    Json route { { "name", "r-plans" }, { "host", host }, { "path-prefix", prefix },
        { "kind", "non_idempotent" }, { "timeout-ms", 3'000 }, { "target-latency-ms", 600 },
        { "priority", 0 }, { "service", pool }, { "attempts", 4 }, { "stretch", 1.6 } };
    Json service { { "name", pool }, { "health-path", "/health" }, { "max-conns", 64 },
        { "preconditions", false } };
    Json limits { { "max-header-bytes", 16'384 }, { "max-body-bytes", 262'144 },
        { "header-timeout-ms", 5'000 }, { "idle-timeout-ms", 60'000 } };
    return { { "version", 7 }, { "routes", Json::array({ route }) }, { "services", Json::array({ service }) },
        { "limits", limits } };
}

std::string freeNetwork()
{
    auto process = unsigned(::getpid());
    return "127." + std::to_string(16 + process % 200) + "." + std::to_string(process / 200 % 250) + ".";
}

std::filesystem::path makeFolder()
{
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return ::mkdtemp(pattern.data());
}

bool readTrouble()
{
    const auto* text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

std::string recordFile()
{
    const auto* folder = std::getenv("CASE");
    return std::string(folder ? folder : ".") + "/record.txt";
}

} // namespace

NodeProcess::NodeProcess(std::string ip, std::string name, const std::string& store, const std::string& vms,
    const FleetSettings& settings, std::filesystem::path folder)
    : m_name(std::move(name))
    , m_callers(ip + ":" + std::to_string(freePort(ip)))
    , m_readiness(ip + ":" + std::to_string(freePort(ip)))
    , m_folder(std::move(folder))
{
    auto ms = [](Millis time) { return std::to_string(time.count()); };
    auto seconds = [](Millis time) { return std::to_string(double(time.count()) / 1000); };
    std::ofstream(m_folder / (m_name + ".ini")) << filled(
        { { "node-name", m_name }, { "zone", "zone-a" }, { "bounds.grace-s", "6" },
            { "limits.max-fds", "4100" }, { "limits.cpu-share", "0.25" }, { "listen.front", m_callers },
            { "listen.ready", m_readiness }, { "ip", ip }, { "port-range.0", std::to_string(freePort(ip)) },
            { "platform.address", store }, { "cloud.address", vms }, { "bounds.config-apply-ms", "2000" },
            { "bounds.max-hold-ms", ms(settings.maxHold) }, { "bounds.migrate-s", "1.5" },
            { "bounds.maintenance-s", seconds(settings.maintenanceTime) }, { "bounds.status_s", "120" } });
}

NodeProcess::~NodeProcess() { kill(); }

void NodeProcess::start()
{
    auto log = (m_folder / (m_name + ".log")).string();
    auto settings = (m_folder / (m_name + ".ini")).string();
    auto parent = ::getpid();
    m_process = ::fork();
    if (m_process != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
        std::_Exit(1);
    auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::setenv("FULMARRAMP_CONFIG", settings.c_str(), 1);
    ::execl(program, program, nullptr);
    std::_Exit(1);
}

void NodeProcess::kill()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
    m_process = 0;
}

bool NodeProcess::hasEnded()
{
    if (m_process <= 0 || ::waitpid(m_process, nullptr, WNOHANG) != m_process)
        return false;
    m_process = 0;
    return true;
}

bool NodeProcess::isReady() const
{
    auto response = callHttp(m_readiness, "GET", "/api/readiness", { { "Host", "node" } }, "", deadline);
    return response && response->status == 200;
}

std::int64_t NodeProcess::residentMb() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(file, line);)
        if (line.starts_with("VmRSS:"))
            return std::stoll(line.substr(6)) / 1024;
    return 0;
}

World::World(std::size_t nodes, FleetSettings settings)
    : m_hasTrouble(readTrouble())
    , m_network(freeNetwork())
    , m_folder(makeFolder())
    , m_record(recordFile())
    , m_settings(settings)
    , m_store(m_network + "1")
    , m_fleet(m_store, m_record, m_network + "1", settings)
{
    m_store.put("op", "config", configuration());
    for (std::size_t i = 1; i <= nodes; ++i)
        m_nodes.push_back(std::make_unique<NodeProcess>(nextIp(), "front-zone-a-" + std::to_string(i),
            m_store.address(), m_fleet.address(), m_settings, m_folder));
}

World::~World()
{
    m_nodes.clear();
    if (std::getenv("KEEP_LOGS"))
        std::cerr << "logs in " << m_folder << "\n";
    else
        std::filesystem::remove_all(m_folder);
}

std::string World::nextIp() { return m_network + std::to_string(++m_lastHost); }

bool World::start()
{
    for (auto& node : m_nodes)
        node->start();
    auto until = Clock::now() + startTimeout;
    for (auto& node : m_nodes)
        while (!node->isReady()) {
            if (Clock::now() > until || node->hasEnded())
                return false;
            std::this_thread::sleep_for(statePause);
        }
    m_record.write("all nodes are ready");
    return true;
}

Runner& World::addRunner(std::int64_t cpu)
{
    constexpr std::size_t runnersPerRack = 4;
    auto number = m_lastRunner++;
    return m_fleet.add(nextIp(), "m-" + std::to_string(100 + number), pool,
        "r1-" + std::to_string(1 + number / runnersPerRack), cpu);
}

std::string World::jobId(std::uint64_t number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::optional<HttpResponse> World::call(
    std::size_t node, const std::string& method, const std::string& id, const std::string& body)
{
    return callHttp(m_nodes[node % m_nodes.size()]->callerAddress(), method, prefix + id,
        { { "Host", host }, { "Content-Type", "application/json" },
            { "Deadline-Ms", std::to_string(deadline.count()) } },
        body, deadline);
}

int World::submit(const std::string& id, const Json& spec, const Json& steps, const Json& more)
{
    Json job { { "spec", spec.dump() }, { "steps", steps } };
    job.update(more);
    int status = 0;
    for (int attempt = 0; attempt < attemptsPerSubmission; ++attempt) {
        auto node = m_nextNode++;
        m_record.write("job " + id + " sent to " + m_nodes[node % m_nodes.size()]->name());
        auto response = call(node, "POST", id, job.dump());
        status = response ? response->status : 0;
        m_record.write("job " + id + " answered " + std::to_string(status));
        if (status != 0 && status != 429 && status < 500)
            break;
        std::this_thread::sleep_for(pauseBetweenAttempts);
    }
    return status;
}

std::string World::state(const std::string& id)
{
    auto response = call(m_nextNode++, "GET", id, "");
    if (!response)
        return "no answer";
    auto body = Json::parse(response->body, nullptr, false);
    return response->status == 200 && body.is_object() ? body.value("state", "")
                                                       : std::to_string(response->status);
}

std::string World::awaitEnd(const std::string& id, Millis timeout)
{
    std::string last;
    for (auto until = Clock::now() + timeout; Clock::now() < until;) {
        auto shown = state(id);
        if (shown != last)
            m_record.write("job " + id + " is shown as " + shown);
        last = shown;
        if (shown == "completed" || shown == "failed" || shown == "cancelled")
            break;
        std::this_thread::sleep_for(statePause);
    }
    return last;
}

int runCase(std::size_t nodes, FleetSettings settings, const std::function<Verdict(World&)>& play)
{
    ::signal(SIGPIPE, SIG_IGN);
    try {
        World world(nodes, settings);
        world.record().write(world.hasTrouble() ? "with the disruption" : "without the disruption");
        auto verdict = play(world);
        static constexpr const char* names[] { "the rule held", "THE RULE WAS BROKEN",
            "the case could not run" };
        world.record().write(names[int(verdict)]);
        std::cout << names[int(verdict)] << std::endl;
        return int(verdict);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return int(Verdict::NotRun);
    }
}

} // namespace review
