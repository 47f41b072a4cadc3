#pragma once

#include "fleet.h"

#include <filesystem>
#include <sys/types.h>

namespace review {

// A process of the project, started as the deploy file says, with settings from its template.
class NodeProcess {
public:
    NodeProcess(std::string ip, std::string name, const std::string& store, const std::string& vms,
        const FleetSettings&, std::filesystem::path folder);
    ~NodeProcess();
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    void start();
    void kill();
    // Ended without a signal of this test.
    [[nodiscard]] bool hasEnded();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] std::int64_t residentMb() const;
    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::string& callerAddress() const { return m_callers; }

private:
    const std::string m_name;
    const std::string m_callers;
    const std::string m_readiness;
    const std::filesystem::path m_folder;
    pid_t m_process { 0 };
};

// A deployment on loopback addresses: the store, runners, the interface of machines, and nodes.
class World {
public:
    // Reads TROUBLE from the environment.
    World(std::size_t nodes, FleetSettings settings);
    ~World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;

    // Waits until every node says that it is ready; false if that takes too long.
    bool start();
    Runner& addRunner(std::int64_t cpu);

    // Hands in a job with retries at other nodes, as clients do; returns the last status, 0 without answer.
    int submit(const std::string& id, const Json& spec, const Json& steps, const Json& more = Json::object());
    // The state shown, or the status if it is not 200.
    std::string state(const std::string& id);
    // Waits until the job is over; returns the last state seen.
    std::string awaitEnd(const std::string& id, Millis timeout);
    static std::string jobId(std::uint64_t number);

    [[nodiscard]] bool hasTrouble() const { return m_hasTrouble; }
    Store& store() { return m_store; }
    Fleet& fleet() { return m_fleet; }
    Record& record() { return m_record; }
    std::vector<std::unique_ptr<NodeProcess>>& nodes() { return m_nodes; }

private:
    std::string nextIp();
    std::optional<HttpResponse> call(
        std::size_t node, const std::string& method, const std::string& id, const std::string& body);

    const bool m_hasTrouble;
    const std::string m_network;
    std::size_t m_lastHost { 1 };
    const std::filesystem::path m_folder;
    Record m_record;
    const FleetSettings m_settings;
    Store m_store;
    Fleet m_fleet;
    std::vector<std::unique_ptr<NodeProcess>> m_nodes;
    std::atomic<std::size_t> m_nextNode { 0 };
    std::size_t m_lastRunner { 0 };
};

enum class Verdict : int { Held = 0, Broken = 1, NotRun = 2 };

// Runs a case and returns its exit status.
int runCase(std::size_t nodes, FleetSettings settings, const std::function<Verdict(World&)>& play);

} // namespace review
