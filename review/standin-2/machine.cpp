#include "world.h"

#include <algorithm>
#include <utility>

namespace fulmar::review2 {

namespace {

constexpr Millis heartbeat { 1'500 };
// A stop takes at most the deployment's `stop-grace-ms`; this one takes less.
constexpr Millis stopTime { 50 };
// A task that lasts is at work this long after its start.
constexpr Millis startupTime { 200 };
constexpr std::size_t maxListedEnds = 500;

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Machine::Machine(Store& store, Record& record, std::string ip, std::string name, std::string pool,
    std::int64_t cpu, Bounds bounds)
    : m_store(store)
    , m_record(record)
    , m_ip(std::move(ip))
    , m_name(std::move(name))
    , m_pool(std::move(pool))
    , m_cpu(cpu)
    , m_bounds(bounds)
{
}

void Machine::start()
{
    auto server = std::make_unique<HttpServer>(
        m_ip, [this](const HttpRequest& request) { return answer(request); }, m_port);
    std::lock_guard lock(m_mutex);
    m_server = std::move(server);
    m_port = m_server->port();
    m_id = "i-" + m_name.substr(2) + "-" + std::to_string(++m_lives);
    m_state = "up";
    m_isUp = true;
    m_upAt.reset();
    m_bornAt = Clock::now();
    m_born = unixMillis();
    m_seq = m_fence = m_leaseUntil = m_ends = 0;
    m_over.clear();
    m_record.note("runner " + m_id + " starts at " + m_server->address());
    beat();
}

void Machine::goDown(const std::string& how, Clock::time_point until, const std::string& state)
{
    std::unique_ptr<HttpServer> server;
    {
        std::lock_guard lock(m_mutex);
        if (!m_isUp)
            return;
        while (!m_runs.empty())
            endRun(m_runs.begin()->first, how);
        m_ended.clear();
        m_isUp = false;
        m_state = state;
        m_upAt = until;
        m_leftRows.push_back(m_id);
        server = std::move(m_server);
        m_changed.notify_all();
    }
    server->stop();
}

void Machine::beginUpkeep(std::int64_t wave)
{
    {
        std::lock_guard lock(m_mutex);
        m_wavesDone.push_back(wave);
    }
    goDown("upkeep", Clock::now() + Millis(m_bounds.upkeepMs), "upkeep");
}

void Machine::advance()
{
    {
        std::lock_guard lock(m_mutex);
        auto now = Clock::now();
        for (const auto& row : std::exchange(m_leftRows, {}))
            m_store.put("servers", row, "");
        if (m_isUp) {
            std::vector<std::pair<Key, std::string>> over;
            for (const auto& [key, run] : m_runs) {
                if (clock() > m_leaseUntil)
                    over.emplace_back(key, "lapsed");
                else if (run.endsAt && now >= *run.endsAt)
                    over.emplace_back(key, "done");
                else if (run.stopsAt && now >= *run.stopsAt)
                    over.emplace_back(key, "stopped");
            }
            for (const auto& [key, how] : over)
                endRun(key, how);
            if (now >= m_nextBeat)
                beat();
        }
        if (!m_upAt || now < *m_upAt)
            return;
    }
    start();
}

void Machine::end()
{
    std::unique_ptr<HttpServer> server;
    {
        std::lock_guard lock(m_mutex);
        m_isUp = false;
        m_upAt.reset();
        server = std::move(m_server);
        m_changed.notify_all();
    }
    if (server)
        server->stop();
}

Json Machine::describe()
{
    std::lock_guard lock(m_mutex);
    return { { "machine", m_name }, { "pool", m_pool }, { "state", m_state }, { "zone", "zone-a" },
        { "labels", { "a", "r1-1" } },
        { "capacity", { { "cpu", m_cpu }, { "mem-mb", 262'144 }, { "gpu", 0 } } }, { "id", m_id } };
}

std::string Machine::id()
{
    std::lock_guard lock(m_mutex);
    return m_id;
}

std::string Machine::state()
{
    std::lock_guard lock(m_mutex);
    return m_state;
}

bool Machine::hasHadUpkeep(std::int64_t wave)
{
    std::lock_guard lock(m_mutex);
    return std::find(m_wavesDone.begin(), m_wavesDone.end(), wave) != m_wavesDone.end();
}

std::vector<RunFact> Machine::facts()
{
    std::lock_guard lock(m_mutex);
    return m_facts;
}

std::int64_t Machine::clock() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_bornAt).count();
}

void Machine::beat()
{
    m_nextBeat = Clock::now() + heartbeat;
    Json row { { "service", m_pool }, { "address", m_server->address() }, { "zone", "zone-a" },
        { "version", "v1" }, { "slots", 8 }, { "state", "ready" }, { "cold-remaining-ms", 0 },
        { "capacity", { { "cpu", m_cpu }, { "mem-mb", 262'144 }, { "gpu", 0 } } },
        { "labels", { "a", "r1-1" } }, { "clock-ms", clock() }, { "born", m_born }, { "machine", m_name },
        { "seq", ++m_seq } };
    m_store.put("servers", m_id, row.dump());
}

HttpResponse Machine::reply(int status, Json body) const
{
    body["clock-ms"] = clock();
    body["born"] = m_born;
    return { status, body.dump(), false };
}

HttpResponse Machine::answer(const HttpRequest& request)
{
    auto order = Json::parse(request.body, nullptr, false);
    std::unique_lock lock(m_mutex);
    if (!m_isUp)
        return { 503, "{}", true };
    auto target = request.headers.find("target-instance");
    if (target == request.headers.end() || target->second != m_id)
        return reply(421, Json::object());
    if (!order.is_object())
        return reply(400, Json::object());
    auto fence = order.value("fencing-token", std::int64_t(0));
    if (fence < m_fence)
        return reply(409, { { "reason", "fence" } });
    m_fence = fence;
    if (request.path == "/api/run-start")
        return startRun(order);
    if (request.path == "/api/run-stop")
        return stopRun(order);
    if (request.path == "/api/hold")
        return hold(order, lock);
    return reply(404, Json::object());
}

void Machine::noteLapse()
{
    if (clock() <= m_leaseUntil)
        return;
    for (auto& end : m_ended)
        end.isLapsed = true;
}

void Machine::extendLease(const Json& order)
{
    auto asked = order.value("deadline-ms", std::int64_t(0));
    m_leaseUntil = std::max(m_leaseUntil, std::min(asked, clock() + m_bounds.maxHoldMs));
}

HttpResponse Machine::startRun(const Json& order)
{
    Key key { order.at("task"), order.at("attempt") };
    noteLapse();
    extendLease(order);
    if (m_runs.contains(key))
        return reply(200, Json::object());
    if (auto over = m_over.find(key.first); over != m_over.end() && key.second <= over->second)
        return reply(409, { { "reason", "old" } });
    if (m_leaseUntil <= clock())
        return reply(409, { { "reason", "late" } });
    auto spec = Json::parse(order.value("spec", ""), nullptr, false);
    auto work = spec.is_object() ? spec.value("ms", std::int64_t(0)) : 0;
    Run run;
    run.fact = m_facts.size();
    run.startedAt = Clock::now();
    if (work > 0)
        run.endsAt = run.startedAt + Millis(work);
    m_facts.push_back({ key.first, key.second, m_id, m_record.seconds(), {}, {}, {} });
    m_runs.emplace(key, run);
    m_record.note("start " + key.first + " run " + std::to_string(key.second) + " on " + m_id);
    return reply(200, Json::object());
}

HttpResponse Machine::stopRun(const Json& order)
{
    Key key { order.at("task"), order.at("attempt") };
    if (auto run = m_runs.find(key); run != m_runs.end()) {
        if (!run->second.stopsAt) {
            run->second.stopsAt = Clock::now() + stopTime;
            m_record.note("stop of " + key.first + " run " + std::to_string(key.second) + " on " + m_id);
        }
    } else {
        m_over[key.first] = std::max(m_over[key.first], key.second);
    }
    return reply(200, Json::object());
}

HttpResponse Machine::hold(const Json& order, std::unique_lock<std::mutex>& lock)
{
    noteLapse();
    extendLease(order);
    auto lastSeen = order.value("last-seen", std::int64_t(0));
    std::erase_if(m_ended, [&](const End& end) {
        if (end.number > lastSeen)
            return false;
        // An end does not count as taken note of if the lease has lapsed since.
        if (!end.isLapsed)
            m_facts[end.fact].notedAt = m_record.seconds();
        return true;
    });
    auto until = Clock::now() + Millis(order.value("wait-ms", std::int64_t(0)));
    auto born = m_born;
    while (m_isUp && m_born == born && m_ended.empty()
        && m_changed.wait_until(lock, until) != std::cv_status::timeout)
        ;
    if (!m_isUp || m_born != born)
        return { 503, "{}", true };
    auto running = Json::array();
    for (const auto& [key, run] : m_runs) {
        auto isAtWork = run.endsAt || Clock::now() >= run.startedAt + startupTime;
        running.push_back({ key.first, key.second, "", isAtWork ? 100 : 0, 0 });
    }
    auto finished = Json::array();
    for (const auto& end : m_ended) {
        if (finished.size() == maxListedEnds)
            break;
        const auto& fact = m_facts[end.fact];
        finished.push_back({ end.number, fact.task, fact.attempt, fact.how, "" });
    }
    return reply(200, { { "running", running }, { "finished", finished } });
}

void Machine::endRun(const Key& key, const std::string& how)
{
    auto run = m_runs.extract(key);
    auto& fact = m_facts[run.mapped().fact];
    fact.endedAt = m_record.seconds();
    fact.how = how;
    m_over[key.first] = std::max(m_over[key.first], key.second);
    m_ended.push_back({ ++m_ends, run.mapped().fact, false });
    m_record.note("end " + key.first + " run " + std::to_string(key.second) + " on " + m_id + ": " + how);
    m_changed.notify_all();
}

} // namespace fulmar::review2
