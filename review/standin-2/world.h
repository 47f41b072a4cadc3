#pragma once

#include "http.h"

#include <condition_variable>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace fulmar::review2 {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

// What was sent, answered and run, one line an event, with seconds since the start.
class Record {
public:
    explicit Record(const std::filesystem::path& file);
    void note(const std::string& text);
    [[nodiscard]] double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_start { Clock::now() };
};

// The platform's store. A transaction takes 8 ms, and an answer 4 ms more.
class Store {
public:
    struct Name {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const Name&) const = default;
    };
    struct Change {
        Name name;
        bool isRemoval { false };
    };
    // Called with the changes of each transaction that was applied.
    using OnCommit = std::function<void(const std::vector<Change>&)>;

    explicit Store(const std::string& ip);
    [[nodiscard]] const std::string& address() const { return m_server.address(); }
    void setOnCommit(OnCommit hook);
    // Writes of the operator and of runners. An empty value removes the row.
    void put(const std::string& table, const std::string& key, const std::string& value);
    [[nodiscard]] std::optional<std::string> get(const std::string& table, const std::string& key);
    void end();

private:
    struct Row {
        std::string value;
        std::int64_t version { 0 };
    };
    struct Event {
        std::int64_t version;
        Name name;
        // As of then; empty for a removal.
        std::optional<std::string> value;
    };

    HttpResponse answer(const HttpRequest&);
    HttpResponse commit(const HttpRequest&);
    HttpResponse read(const HttpRequest&);
    HttpResponse listParts(const HttpRequest&);
    HttpResponse feed(const HttpRequest&);
    void apply(const Name&, std::optional<std::string> value, std::int64_t version);
    [[nodiscard]] HttpResponse reply(int status, Json body) const;

    std::mutex m_writer;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::vector<Event> m_events;
    std::int64_t m_version { 0 };
    bool m_isEnding { false };
    OnCommit m_onCommit;
    HttpServer m_server;
};

// One start of a run on a runner.
struct RunFact {
    std::string task;
    std::int64_t attempt { 0 };
    std::string runner;
    double startedAt { 0 };
    std::optional<double> endedAt;
    std::string how;
    // Its end was reached by `last-seen`, and the lease had not lapsed since it ended.
    std::optional<double> notedAt;
};

// A machine of a pool and the runner on it. A task's spec is {"ms": work}; 0 for tasks that last.
class Machine {
public:
    struct Bounds {
        std::int64_t maxHoldMs { 6'000 };
        std::int64_t upkeepMs { 2'000 };
    };

    Machine(Store&, Record&, std::string ip, std::string name, std::string pool, std::int64_t cpu, Bounds);

    void start();
    // Upkeep begins: what runs ends, and a new runner joins the pool after the time for it.
    void beginUpkeep(std::int64_t wave);
    void advance();
    void end();
    [[nodiscard]] Json describe();
    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] std::string id();
    [[nodiscard]] std::string state();
    [[nodiscard]] bool hasHadUpkeep(std::int64_t wave);
    [[nodiscard]] std::vector<RunFact> facts();

private:
    using Key = std::pair<std::string, std::int64_t>;
    struct Run {
        std::size_t fact { 0 };
        Clock::time_point startedAt;
        std::optional<Clock::time_point> endsAt;
        std::optional<Clock::time_point> stopsAt;
    };
    struct End {
        std::int64_t number;
        std::size_t fact;
        // The lease has lapsed since.
        bool isLapsed;
    };

    HttpResponse answer(const HttpRequest&);
    HttpResponse startRun(const Json&);
    HttpResponse stopRun(const Json&);
    HttpResponse hold(const Json&, std::unique_lock<std::mutex>&);
    HttpResponse reply(int status, Json body) const;
    [[nodiscard]] std::int64_t clock() const;
    void noteLapse();
    void extendLease(const Json& order);
    void endRun(const Key&, const std::string& how);
    void goDown(const std::string& how, Clock::time_point until, const std::string& state);
    void beat();

    Store& m_store;
    Record& m_record;
    const std::string m_ip;
    const std::string m_name;
    const std::string m_pool;
    const std::int64_t m_cpu;
    const Bounds m_bounds;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::unique_ptr<HttpServer> m_server;
    // All lives have the same address.
    std::uint16_t m_port { 0 };
    std::string m_state { "up" };
    std::string m_id;
    int m_lives { 0 };
    bool m_isUp { false };
    std::optional<Clock::time_point> m_upAt;
    Clock::time_point m_bornAt;
    Clock::time_point m_nextBeat;
    std::int64_t m_born { 0 };
    std::int64_t m_seq { 0 };
    std::int64_t m_fence { 0 };
    std::int64_t m_leaseUntil { 0 };
    std::int64_t m_ends { 0 };
    std::map<Key, Run> m_runs;
    std::vector<End> m_ended;
    std::map<std::string, std::int64_t> m_over;
    std::vector<RunFact> m_facts;
    std::vector<std::int64_t> m_wavesDone;
    // Rows of earlier lives that the store is to drop.
    std::vector<std::string> m_leftRows;
};

// The machines, and the platform's interface of them.
class Fleet {
public:
    // Decides what becomes of an upkeep order: empty to carry it out and answer, or the time after which it
    // is carried out without an answer.
    using OrderFate = std::function<std::optional<Millis>(const std::string& machine)>;

    Fleet(Store&, Record&, const std::string& ip);
    ~Fleet();
    Machine& add(const std::string& ip, const std::string& name, const std::string& pool, std::int64_t cpu,
        Machine::Bounds);
    void begin();
    void setOrderFate(OrderFate fate) { m_fate = std::move(fate); }
    [[nodiscard]] const std::string& address() const { return m_server.address(); }
    [[nodiscard]] std::vector<std::unique_ptr<Machine>>& machines() { return m_machines; }
    [[nodiscard]] std::vector<RunFact> facts();
    // The most machines of a wave that were in upkeep at a time, including those that began while the others
    // were still down.
    [[nodiscard]] std::size_t mostInUpkeep() const { return m_mostInUpkeep; }
    void end();

private:
    struct LateOrder {
        Clock::time_point dueAt;
        std::string machine;
        std::int64_t wave;
        std::int64_t token;
    };

    HttpResponse answer(const HttpRequest&);
    HttpResponse maintain(const HttpRequest&);
    HttpResponse carryOut(const std::string& name, std::int64_t wave, std::int64_t token, bool isLate);
    void loop();

    Store& m_store;
    Record& m_record;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::mutex m_mutex;
    OrderFate m_fate;
    std::deque<LateOrder> m_late;
    std::map<std::string, std::int64_t> m_tokens;
    std::atomic<std::size_t> m_mostInUpkeep { 0 };
    std::atomic<bool> m_isEnding { false };
    std::thread m_thread;
    HttpServer m_server;
};

// Figures of the deployment that the settings name.
struct Deployment {
    std::string store;
    std::string machines;
    std::int64_t statusSeconds { 120 };
    std::int64_t maxHoldMs { 6'000 };
    std::filesystem::path program;
    std::filesystem::path settingsTemplate;
    std::filesystem::path folder;
};

// One process of the program, as the platform runs it.
class Node {
public:
    Node(Record&, Deployment, std::string name, std::string ip);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    void start();
    // Without waiting for its end.
    void sendKill() const;
    void kill();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] const std::string& callers() const { return m_callers; }

private:
    Record& m_record;
    const Deployment m_deployment;
    const std::string m_name;
    const std::string m_ip;
    std::string m_callers;
    std::string m_readiness;
    pid_t m_process { 0 };
};

std::uint16_t freePort(const std::string& ip);
// An IP of this play; plays that run at the same time have others.
std::string loopbackIp(int last);
void sleepFor(Millis);

} // namespace fulmar::review2
