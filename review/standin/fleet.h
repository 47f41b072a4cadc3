#pragma once

#include "store.h"

#include <condition_variable>
#include <fstream>
#include <memory>

namespace review {

// Writes record.txt: what was sent, answered and run, with milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& file);
    void write(const std::string& line);
    [[nodiscard]] std::int64_t now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_started { Clock::now() };
};

struct Run {
    std::string task;
    std::int64_t attempt { 0 };
    std::string machine;
    // The state that the start carried, and the latest one.
    std::string startedFrom;
    std::string checkpoint;
    std::size_t gangSize { 0 };
    Millis work { 0 };
    Millis workBefore { 0 };
    Clock::time_point orderedAt;
    std::optional<Clock::time_point> workingSince;
};

struct EndedRun {
    std::string task;
    std::int64_t attempt { 0 };
    std::string machine;
    std::string how;
    std::int64_t atMs { 0 };
};

struct FleetSettings {
    Millis maxHold { 10'000 };
    Millis heartbeat { 1'500 };
    Millis gangWait { 3'000 };
    Millis checkpointInterval { 2'000 };
    Millis maintenanceTime { 2'000 };
};

class Fleet;

// One runner and its machine: runs tasks under a lease, as PROTOCOL.md tells. `spec` is JSON: {"ms": work},
// and for a gang {"ms": work, "gang": members}.
class Runner {
public:
    Runner(Fleet&, std::string ip, std::string machine, std::string pool, std::string rack, std::int64_t cpu);
    ~Runner();
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;

    // Begins a life. `cutOffFor`: it can't reach the store for that long. The caller holds no lock of the
    // fleet.
    void start(const std::string& id, Millis cutOffFor = Millis(0));
    // All that runs ends without a trace; connections are reset.
    void crash();

    [[nodiscard]] const std::string& machine() const { return m_machine; }
    [[nodiscard]] const std::string& id() const { return m_id; }

private:
    friend class Fleet;
    using Key = std::pair<std::string, std::int64_t>;

    HttpResponse answer(const HttpRequest&, std::int64_t born);
    HttpResponse startRun(const Json&);
    HttpResponse stopRun(const Json&);
    HttpResponse hold(const Json&, std::int64_t born, std::unique_lock<std::mutex>&);
    [[nodiscard]] HttpResponse refusal(const std::string& reason) const;
    [[nodiscard]] Json withClock(Json body) const;
    [[nodiscard]] std::int64_t clock() const;
    void extendLease(const Json& order);
    void endRun(const Key&, const std::string& how);
    void beat();

    Fleet& m_fleet;
    const std::string m_ip;
    const std::string m_machine;
    const std::string m_pool;
    const std::string m_rack;
    const std::int64_t m_cpu;
    std::string m_id;
    std::uint16_t m_port { 0 };
    std::unique_ptr<HttpServer> m_server;
    bool m_isUp { false };
    std::string m_state { "up" };
    std::int64_t m_born { 0 };
    std::int64_t m_seq { 0 };
    Clock::time_point m_startedAt;
    Clock::time_point m_nextBeat;
    Clock::time_point m_lastBeat;
    std::int64_t m_fence { 0 };
    std::int64_t m_leaseUntil { 0 };
    std::map<Key, Run> m_runs;
    // Highest attempt of each task that was stopped or ended here.
    std::map<std::string, std::int64_t> m_over;
    std::vector<Json> m_ended;
    std::int64_t m_ends { 0 };
    // When each end was listed.
    std::map<std::int64_t, Clock::time_point> m_endTimes;
};

// All runners, the platform's interface of machines, and what both have seen.
class Fleet {
public:
    Fleet(Store&, Record&, const std::string& ip, FleetSettings);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    [[nodiscard]] std::string address() const { return m_server->address(); }
    Runner& add(const std::string& ip, const std::string& machine, const std::string& pool,
        const std::string& rack, std::int64_t cpu);
    // A new id for the next life of a runner.
    std::string newId();
    [[nodiscard]] std::vector<EndedRun> ended();
    // Ends that have been listed for longer than that, and that no `last-seen` has reached.
    [[nodiscard]] std::size_t endsNotNoted(Millis age);
    [[nodiscard]] std::vector<Run> running();
    // Tasks that two runners that were up ran at the same time.
    [[nodiscard]] std::vector<std::string> doubleRuns();
    // Gangs whose members were started with different checkpoints.
    [[nodiscard]] std::vector<std::string> mixedGangs();
    // Machines that have begun an upkeep.
    [[nodiscard]] std::set<std::string> maintained();

private:
    friend class Runner;

    HttpResponse answer(const HttpRequest&);
    HttpResponse list();
    HttpResponse maintain(const HttpRequest&);
    void loop();
    void step(Runner&, Clock::time_point now);
    void stepGangs(Clock::time_point now);
    void noteStart(const Run&);

    Store& m_store;
    Record& m_record;
    const FleetSettings m_settings;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::vector<EndedRun> m_ended;
    std::vector<std::string> m_doubleRuns;
    std::vector<std::string> m_mixedGangs;
    std::map<std::string, std::string> m_gangCheckpoints;
    std::map<std::string, std::int64_t> m_fences;
    std::map<std::string, Clock::time_point> m_maintenanceEnds;
    std::set<std::string> m_maintained;
    std::int64_t m_lastId { 0 };
    std::atomic<bool> m_isStopping { false };
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

} // namespace review
