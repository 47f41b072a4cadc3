#include "fleet.h"

#include <algorithm>
#include <cstdio>

namespace review {

namespace {

constexpr Millis tickPause { 10 };
constexpr std::size_t maxListedEnds = 500;
constexpr Millis maxWait { 2'000 };
// The platform drops a runner's row after this many silent heartbeats.
constexpr int silentHeartbeats = 3;

std::string gangOf(const Run& run)
{
    return run.task.substr(0, run.task.rfind('.')) + "#" + std::to_string(run.attempt);
}

// Eight digits of the work done in milliseconds, and eight that name the step.
std::string checkpointAfter(const Run& run, Millis work)
{
    char text[17];
    auto step = std::uint32_t(std::hash<std::string> {}(run.task.substr(0, run.task.rfind('.'))));
    std::snprintf(text, sizeof text, "%08x%08x", unsigned(work.count()), step);
    return text;
}

Millis workOf(const std::string& checkpoint)
{
    return Millis(checkpoint.size() < 8 ? 0 : std::stol(checkpoint.substr(0, 8), nullptr, 16));
}

std::int64_t wallNow()
{
    auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Millis>(now).count();
}

} // namespace

Record::Record(const std::string& file)
    : m_file(file)
{
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_started).count();
}

void Record::write(const std::string& line)
{
    std::lock_guard lock(m_mutex);
    m_file << now() << " ms  " << line << std::endl;
}

Runner::Runner(
    Fleet& fleet, std::string ip, std::string machine, std::string pool, std::string rack, std::int64_t cpu)
    : m_fleet(fleet)
    , m_ip(std::move(ip))
    , m_machine(std::move(machine))
    , m_pool(std::move(pool))
    , m_rack(std::move(rack))
    , m_cpu(cpu)
{
}

Runner::~Runner() = default;

void Runner::start(const std::string& id, Millis cutOffFor)
{
    std::unique_lock lock(m_fleet.m_mutex);
    m_id = id;
    m_born = std::max(wallNow(), m_born + 1);
    m_seq = 0;
    m_startedAt = Clock::now();
    m_fence = 0;
    m_leaseUntil = 0;
    m_runs.clear();
    m_over.clear();
    m_ended.clear();
    m_ends = 0;
    m_endTimes.clear();
    m_isUp = true;
    m_state = "up";
    auto born = m_born;
    m_server = std::make_unique<HttpServer>(
        m_ip, m_port, [this, born](const HttpRequest& request) { return answer(request, born); });
    m_port = m_server->port();
    m_nextBeat = m_startedAt + cutOffFor;
    m_fleet.m_record.write("runner " + m_machine + " starts as " + m_id);
    if (cutOffFor == Millis(0))
        beat();
}

void Runner::crash()
{
    std::unique_ptr<HttpServer> server;
    {
        std::lock_guard lock(m_fleet.m_mutex);
        if (!m_isUp)
            return;
        m_isUp = false;
        server = std::move(m_server);
        std::string lost;
        for (const auto& [key, run] : m_runs)
            lost += " " + run.task + "#" + std::to_string(run.attempt);
        m_fleet.m_record.write("runner " + m_machine + " crashes; lost:" + lost);
        m_runs.clear();
        m_fleet.m_changed.notify_all();
    }
    server->close();
}

std::int64_t Runner::clock() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_startedAt).count() + 1'000;
}

Json Runner::withClock(Json body) const
{
    body["clock-ms"] = clock();
    return body;
}

HttpResponse Runner::refusal(const std::string& reason) const
{
    return jsonResponse(409, withClock({ { "reason", reason } }));
}

HttpResponse Runner::answer(const HttpRequest& request, std::int64_t born)
{
    std::unique_lock lock(m_fleet.m_mutex);
    auto isOver = [this, born] { return !m_isUp || m_born != born; };
    if (isOver())
        return {};
    if (request.path == "/health")
        return jsonResponse(200, Json::object());
    auto target = request.headers.find("target-instance");
    if (target != request.headers.end() && target->second != m_id)
        return jsonResponse(421, Json::object());
    auto order = Json::parse(request.body, nullptr, false);
    if (!order.is_object())
        return jsonResponse(400, withClock(Json::object()));
    auto fence = order.value("fencing-token", std::int64_t(0));
    if (fence < m_fence)
        return refusal("fence");
    m_fence = fence;
    if (request.path == "/api/run-start")
        return startRun(order);
    if (request.path == "/api/run-stop")
        return stopRun(order);
    if (request.path == "/api/hold") {
        auto response = hold(order, born, lock);
        return isOver() ? HttpResponse {} : response;
    }
    return jsonResponse(404, withClock(Json::object()));
}

void Runner::extendLease(const Json& order)
{
    if (auto until = order.find("deadline-ms"); until != order.end())
        m_leaseUntil = std::max(
            m_leaseUntil, std::min(until->get<std::int64_t>(), clock() + m_fleet.m_settings.maxHold.count()));
}

HttpResponse Runner::startRun(const Json& order)
{
    Run run;
    run.task = order.at("task").get<std::string>();
    run.attempt = order.at("attempt").get<std::int64_t>();
    if (order.value("deadline-ms", std::int64_t(0)) <= clock())
        return refusal("late");
    extendLease(order);
    if (m_runs.contains({ run.task, run.attempt }))
        return jsonResponse(200, withClock(Json::object()));
    if (auto over = m_over.find(run.task); over != m_over.end() && run.attempt <= over->second)
        return refusal("old");
    auto spec = Json::parse(order.value("spec", ""), nullptr, false);
    run.machine = m_machine;
    run.work = Millis(spec.value("ms", 1'000));
    run.gangSize = spec.value("gang", std::size_t(0));
    run.startedFrom = order.value("checkpoint", "");
    run.checkpoint = run.startedFrom;
    run.workBefore = workOf(run.startedFrom);
    run.orderedAt = Clock::now();
    if (run.gangSize == 0)
        run.workingSince = run.orderedAt;
    m_fleet.noteStart(run);
    m_runs[{ run.task, run.attempt }] = std::move(run);
    return jsonResponse(200, withClock(Json::object()));
}

HttpResponse Runner::stopRun(const Json& order)
{
    Key key { order.at("task").get<std::string>(), order.at("attempt").get<std::int64_t>() };
    if (m_runs.contains(key))
        endRun(key, "stopped");
    auto& over = m_over[key.first];
    over = std::max(over, key.second);
    return jsonResponse(200, withClock(Json::object()));
}

HttpResponse Runner::hold(const Json& order, std::int64_t born, std::unique_lock<std::mutex>& lock)
{
    extendLease(order);
    auto seen = order.value("last-seen", std::int64_t(0));
    std::erase_if(m_ended, [seen](const Json& end) { return end[0].get<std::int64_t>() <= seen; });
    auto wait = std::min(Millis(order.value("wait-ms", 0)), maxWait);
    m_fleet.m_changed.wait_for(
        lock, wait, [this, born] { return !m_ended.empty() || !m_isUp || m_born != born; });
    auto running = Json::array();
    for (const auto& [key, run] : m_runs)
        running.push_back({ run.task, run.attempt, run.checkpoint, run.workingSince ? 100 : 0 });
    auto ended = Json::array();
    for (const auto& end : m_ended)
        if (ended.size() < maxListedEnds)
            ended.push_back(end);
    return jsonResponse(200, withClock({ { "born", born }, { "running", running }, { "finished", ended } }));
}

// The caller holds the fleet's lock.
void Runner::endRun(const Key& key, const std::string& how)
{
    auto run = m_runs.extract(key).mapped();
    if (how == "stopped" && run.workingSince)
        run.checkpoint = checkpointAfter(
            run, run.workBefore + std::chrono::duration_cast<Millis>(Clock::now() - *run.workingSince));
    auto& over = m_over[run.task];
    over = std::max(over, run.attempt);
    m_endTimes[m_ends + 1] = Clock::now();
    m_ended.push_back({ ++m_ends, run.task, run.attempt, how, run.checkpoint });
    m_fleet.m_ended.push_back({ run.task, run.attempt, m_machine, how, m_fleet.m_record.now() });
    m_fleet.m_record.write("run " + run.task + "#" + std::to_string(run.attempt) + " on " + m_machine
        + " ends: " + how + (run.checkpoint.empty() ? "" : ", checkpoint " + run.checkpoint));
    m_fleet.m_changed.notify_all();
}

// The caller holds the fleet's lock.
void Runner::beat()
{
    m_lastBeat = Clock::now();
    m_nextBeat = m_lastBeat + m_fleet.m_settings.heartbeat;
    m_fleet.m_store.put("servers", m_id,
        { { "service", m_pool }, { "address", m_server->address() }, { "zone", "zone-a" },
            { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 },
            { "machine", m_machine },
            { "capacity", { { "cpu", m_cpu }, { "mem-mb", 32'768 }, { "gpu", 0 } } },
            { "labels", { "a", m_rack } }, { "clock-ms", clock() }, { "born", m_born }, { "seq", ++m_seq } });
}

Fleet::Fleet(Store& store, Record& record, const std::string& ip, FleetSettings settings)
    : m_store(store)
    , m_record(record)
    , m_settings(settings)
{
    m_server
        = std::make_unique<HttpServer>(ip, 0, [this](const HttpRequest& request) { return answer(request); });
    m_thread = std::thread([this] { loop(); });
}

Fleet::~Fleet()
{
    m_isStopping = true;
    m_thread.join();
    m_server.reset();
    for (auto& runner : m_runners)
        runner->crash();
}

Runner& Fleet::add(const std::string& ip, const std::string& machine, const std::string& pool,
    const std::string& rack, std::int64_t cpu)
{
    auto runner = std::make_unique<Runner>(*this, ip, machine, pool, rack, cpu);
    runner->start(newId());
    std::lock_guard lock(m_mutex);
    return *m_runners.emplace_back(std::move(runner));
}

std::string Fleet::newId()
{
    std::lock_guard lock(m_mutex);
    return "i-" + std::to_string(1'000 + ++m_lastId);
}

HttpResponse Fleet::answer(const HttpRequest& request)
{
    if (request.path == "/api/machines")
        return list();
    if (request.path == "/api/machine-upkeep")
        return maintain(request);
    // No case has two pools.
    return jsonResponse(400, Json::object());
}

HttpResponse Fleet::list()
{
    std::lock_guard lock(m_mutex);
    auto machines = Json::array();
    for (const auto& runner : m_runners)
        machines.push_back({ { "machine", runner->m_machine }, { "pool", runner->m_pool },
            { "state", runner->m_state }, { "zone", "zone-a" }, { "labels", { "a", runner->m_rack } },
            { "capacity", { { "cpu", runner->m_cpu }, { "mem-mb", 32'768 }, { "gpu", 0 } } },
            { "id", runner->m_id } });
    return jsonResponse(200, { { "machines", machines }, { "next-token", nullptr } });
}

HttpResponse Fleet::maintain(const HttpRequest& request)
{
    auto order = Json::parse(request.body, nullptr, false);
    auto fence = std::stoll(request.headers.at("fencing-token"));
    Runner* machine = nullptr;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& runner : m_runners)
            if (order.is_object() && runner->m_machine == order.value("machine", ""))
                machine = runner.get();
        if (!machine)
            return jsonResponse(400, Json::object());
        auto& last = m_fences[machine->m_machine];
        if (fence < last)
            return jsonResponse(409, { { "reason", "fence" } });
        last = fence;
        m_record.write("upkeep of " + machine->m_machine + " ordered");
        if (m_maintained.contains(machine->m_machine))
            return jsonResponse(200, Json::object());
        if (machine->m_state != "up")
            return jsonResponse(409, { { "reason", "busy" } });
        machine->m_state = "upkeep";
        m_maintained.insert(machine->m_machine);
        m_maintenanceEnds[machine->m_machine] = Clock::now() + m_settings.maintenanceTime;
    }
    machine->crash();
    m_store.remove("servers", machine->m_id);
    return jsonResponse(200, Json::object());
}

void Fleet::noteStart(const Run& run)
{
    m_record.write("run " + run.task + "#" + std::to_string(run.attempt) + " starts on " + run.machine
        + (run.startedFrom.empty() ? "" : " from checkpoint " + run.startedFrom));
    for (const auto& runner : m_runners)
        for (const auto& [key, other] : runner->m_runs)
            if (runner->m_isUp && key.first == run.task && run.gangSize == 0) {
                m_doubleRuns.push_back(run.task + " runs on " + other.machine + " as attempt "
                    + std::to_string(other.attempt) + " and starts on " + run.machine + " as attempt "
                    + std::to_string(run.attempt));
                m_record.write("TWO RUNS AT ONCE: " + m_doubleRuns.back());
            }
    if (run.gangSize == 0)
        return;
    auto [known, isFirst] = m_gangCheckpoints.emplace(gangOf(run), run.startedFrom);
    if (isFirst || known->second == run.startedFrom)
        return;
    m_mixedGangs.push_back(gangOf(run) + " has a member with checkpoint '" + known->second
        + "' and one with '" + run.startedFrom + "'");
    m_record.write("MIXED CHECKPOINTS: " + m_mixedGangs.back());
}

void Fleet::loop()
{
    while (!m_isStopping) {
        std::this_thread::sleep_for(tickPause);
        std::vector<Runner*> back;
        {
            std::lock_guard lock(m_mutex);
            auto now = Clock::now();
            for (auto& runner : m_runners) {
                if (runner->m_isUp)
                    step(*runner, now);
                if (now > runner->m_lastBeat + m_settings.heartbeat * silentHeartbeats
                    && !m_store.read("servers", runner->m_id).is_null())
                    m_store.remove("servers", runner->m_id);
                auto ends = m_maintenanceEnds.find(runner->m_machine);
                if (ends != m_maintenanceEnds.end() && now > ends->second) {
                    m_maintenanceEnds.erase(ends);
                    back.push_back(runner.get());
                }
            }
            stepGangs(now);
        }
        for (auto* runner : back)
            runner->start(newId());
    }
}

void Fleet::step(Runner& runner, Clock::time_point now)
{
    if (now >= runner.m_nextBeat)
        runner.beat();
    std::vector<std::pair<Runner::Key, std::string>> ends;
    for (auto& [key, run] : runner.m_runs) {
        if (runner.clock() > runner.m_leaseUntil) {
            ends.emplace_back(key, "lapsed");
            continue;
        }
        if (!run.workingSince)
            continue;
        auto done = run.workBefore + std::chrono::duration_cast<Millis>(now - *run.workingSince);
        if (done >= run.work) {
            ends.emplace_back(key, "done");
            continue;
        }
        auto saved = done - done % m_settings.checkpointInterval;
        if (saved > run.workBefore && saved > workOf(run.checkpoint))
            run.checkpoint = checkpointAfter(run, saved);
    }
    for (const auto& [key, how] : ends)
        runner.endRun(key, how);
}

// Members work from the moment when all of them are present, with the same state.
void Fleet::stepGangs(Clock::time_point now)
{
    std::map<std::string, std::vector<std::pair<Runner*, Run*>>> gangs;
    for (auto& runner : m_runners)
        for (auto& [key, run] : runner->m_runs)
            if (run.gangSize > 0)
                gangs[gangOf(run) + "@" + run.startedFrom].emplace_back(runner.get(), &run);
    for (auto& [name, members] : gangs) {
        auto isComplete = members.size() == members.front().second->gangSize;
        auto hasWorked = std::any_of(members.begin(), members.end(),
            [](const auto& member) { return member.second->workingSince.has_value(); });
        for (auto& [runner, run] : members) {
            if (isComplete && !run->workingSince)
                run->workingSince = now;
            else if (!isComplete && hasWorked)
                runner->endRun({ run->task, run->attempt }, "broken");
            else if (!isComplete && now > run->orderedAt + m_settings.gangWait)
                runner->endRun({ run->task, run->attempt }, "alone");
        }
    }
}

std::vector<EndedRun> Fleet::ended()
{
    std::lock_guard lock(m_mutex);
    return m_ended;
}

std::size_t Fleet::endsNotNoted(Millis age)
{
    std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& runner : m_runners)
        for (const auto& end : runner->m_ended)
            count += Clock::now() - runner->m_endTimes[end[0].get<std::int64_t>()] > age ? 1 : 0;
    return count;
}

std::vector<Run> Fleet::running()
{
    std::lock_guard lock(m_mutex);
    std::vector<Run> all;
    for (const auto& runner : m_runners)
        for (const auto& [key, run] : runner->m_runs)
            all.push_back(run);
    return all;
}

std::vector<std::string> Fleet::doubleRuns()
{
    std::lock_guard lock(m_mutex);
    return m_doubleRuns;
}

std::vector<std::string> Fleet::mixedGangs()
{
    std::lock_guard lock(m_mutex);
    return m_mixedGangs;
}

std::set<std::string> Fleet::maintained()
{
    std::lock_guard lock(m_mutex);
    return m_maintained;
}

} // namespace review
