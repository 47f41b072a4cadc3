#include "world.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace fulmar::review2 {

namespace {

constexpr Millis tick { 5 };

void replaceAll(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

} // namespace

void sleepFor(Millis time) { std::this_thread::sleep_for(time); }

std::string loopbackIp(int last)
{
    static const int network = int(getpid() % 200) + 20;
    return fmt::format("127.{}.{}.{}", network, getpid() / 200 % 250, last);
}

std::uint16_t freePort(const std::string& ip)
{
    int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    auto isBound = bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0
        && getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(probe);
    if (!isBound)
        throw std::runtime_error("no free port on " + ip);
    return ntohs(address.sin_port);
}

Record::Record(const std::filesystem::path& file)
    : m_file(file)
{
}

double Record::seconds() const { return std::chrono::duration<double>(Clock::now() - m_start).count(); }

void Record::note(const std::string& text)
{
    std::lock_guard lock(m_mutex);
    m_file << fmt::format("{:9.3f} {}\n", seconds(), text) << std::flush;
}

Fleet::Fleet(Store& store, Record& record, const std::string& ip)
    : m_store(store)
    , m_record(record)
    , m_server(ip, [this](const HttpRequest& request) { return answer(request); })
{
}

Fleet::~Fleet() { end(); }

Machine& Fleet::add(const std::string& ip, const std::string& name, const std::string& pool, std::int64_t cpu,
    Machine::Bounds bounds)
{
    m_machines.push_back(std::make_unique<Machine>(m_store, m_record, ip, name, pool, cpu, bounds));
    return *m_machines.back();
}

void Fleet::begin()
{
    for (auto& machine : m_machines)
        machine->start();
    m_thread = std::thread([this] { loop(); });
}

std::vector<RunFact> Fleet::facts()
{
    std::vector<RunFact> all;
    for (auto& machine : m_machines)
        for (auto& fact : machine->facts())
            all.push_back(std::move(fact));
    std::sort(
        all.begin(), all.end(), [](const RunFact& a, const RunFact& b) { return a.startedAt < b.startedAt; });
    return all;
}

void Fleet::end()
{
    if (m_isEnding.exchange(true))
        return;
    if (m_thread.joinable())
        m_thread.join();
    m_server.stop();
    for (auto& machine : m_machines)
        machine->end();
}

void Fleet::loop()
{
    while (!m_isEnding) {
        for (auto& machine : m_machines)
            machine->advance();
        std::vector<LateOrder> due;
        {
            std::lock_guard lock(m_mutex);
            std::erase_if(m_late, [&](const LateOrder& each) {
                if (Clock::now() < each.dueAt)
                    return false;
                due.push_back(each);
                return true;
            });
        }
        for (const auto& each : due)
            carryOut(each.machine, each.wave, each.token, true);
        sleepFor(tick);
    }
}

HttpResponse Fleet::answer(const HttpRequest& request)
{
    sleepFor(Millis(4));
    if (request.path == "/api/machine-upkeep")
        return maintain(request);
    if (request.path != "/api/machines")
        return { 400, "{}", false };
    auto list = Json::array();
    for (auto& machine : m_machines)
        list.push_back(machine->describe());
    return { 200, Json { { "machines", list }, { "next-token", nullptr } }.dump(), false };
}

HttpResponse Fleet::maintain(const HttpRequest& request)
{
    auto order = Json::parse(request.body);
    std::string name = order.at("machine");
    std::int64_t wave = order.at("wave");
    auto token = std::stoll(request.headers.at("fencing-token"));
    auto delay = m_fate ? m_fate(name) : std::nullopt;
    m_record.note(fmt::format("upkeep of {} ordered by {} with token {}{}", name,
        request.headers.at("duty-holder"), token, delay ? ": no answer" : ""));
    if (!delay)
        return carryOut(name, wave, token, false);
    {
        std::lock_guard lock(m_mutex);
        m_late.push_back({ Clock::now() + *delay, name, wave, token });
    }
    // The connection stays open without an answer for longer than any caller waits.
    for (auto until = Clock::now() + Millis(15'000); Clock::now() < until && !m_isEnding;)
        sleepFor(Millis(20));
    return { 503, "{}", true };
}

HttpResponse Fleet::carryOut(const std::string& name, std::int64_t wave, std::int64_t token, bool isLate)
{
    auto found = std::find_if(
        m_machines.begin(), m_machines.end(), [&](const auto& machine) { return machine->name() == name; });
    if (found == m_machines.end())
        return { 400, "{}", false };
    std::lock_guard lock(m_mutex);
    if (token < m_tokens[name])
        return { 409, R"({"reason":"fence"})", false };
    m_tokens[name] = token;
    if ((*found)->hasHadUpkeep(wave))
        return { 200, "{}", false };
    if ((*found)->state() != "up")
        return { 409, R"({"reason":"busy"})", false };
    auto down = std::size_t(std::count_if(m_machines.begin(), m_machines.end(),
        [&](const auto& machine) { return machine->state() == "upkeep" && machine->hasHadUpkeep(wave); }));
    m_record.note(fmt::format("upkeep of {} begins{}; {} of its wave are down for theirs", name,
        isLate ? ", by the order without an answer" : "", down));
    m_mostInUpkeep = std::max<std::size_t>(m_mostInUpkeep, down + 1);
    (*found)->beginUpkeep(wave);
    return { 200, "{}", false };
}

Node::Node(Record& record, Deployment deployment, std::string name, std::string ip)
    : m_record(record)
    , m_deployment(std::move(deployment))
    , m_name(std::move(name))
    , m_ip(std::move(ip))
{
    m_callers = fmt::format("{}:{}", m_ip, freePort(m_ip));
    m_readiness = fmt::format("{}:{}", m_ip, freePort(m_ip));
    std::ifstream file(m_deployment.settingsTemplate);
    std::string settings { std::istreambuf_iterator<char>(file), {} };
    const std::map<std::string, std::string> values { { "node-name", m_name }, { "zone", "zone-a" },
        { "bounds.grace-s", "6" }, { "limits.max-fds", "4100" }, { "limits.cpu-share", "0.25" },
        { "listen.front", m_callers }, { "listen.ready", m_readiness }, { "ip", m_ip },
        { "port-range.0", std::to_string(freePort(m_ip)) }, { "platform.address", m_deployment.store },
        { "cloud.address", m_deployment.machines }, { "bounds.config-apply-ms", "2000" },
        { "bounds.max-hold-ms", std::to_string(m_deployment.maxHoldMs) }, { "bounds.migrate-s", "1.5" },
        { "bounds.maintenance-s", "2" }, { "bounds.status_s", std::to_string(m_deployment.statusSeconds) } };
    for (const auto& [field, value] : values)
        replaceAll(settings, "{{" + field + "}}", value);
    std::ofstream(m_deployment.folder / (m_name + ".ini")) << settings;
}

Node::~Node() { kill(); }

void Node::start()
{
    auto program = m_deployment.program.string();
    auto variable = "FULMARRAMP_CONFIG=" + (m_deployment.folder / (m_name + ".ini")).string();
    auto log = (m_deployment.folder / (m_name + ".log")).string();
    m_process = fork();
    if (m_process == 0) {
        // It must not outlive the play, whatever ends that.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        char* arguments[] = { program.data(), nullptr };
        char path[] = "PATH=/usr/bin:/bin";
        char* environment[] = { variable.data(), path, nullptr };
        execve(program.c_str(), arguments, environment);
        _exit(127);
    }
    m_record.note("node " + m_name + " started");
}

void Node::sendKill() const
{
    if (m_process > 0)
        ::kill(m_process, SIGKILL);
}

void Node::kill()
{
    if (m_process <= 0)
        return;
    sendKill();
    waitpid(m_process, nullptr, 0);
    m_process = 0;
    m_record.note("node " + m_name + " killed");
}

bool Node::isReady() const
{
    auto answer
        = callHttp(m_readiness, "GET", "/api/readiness", { { "Host", m_readiness } }, "", Millis(1'000));
    return answer && answer->status == 200;
}

} // namespace fulmar::review2
