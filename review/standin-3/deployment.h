#pragma once

#include "platform/tests/soak/connection.h"
#include "platform/tests/soak/fleet.h"
#include "platform/tests/soak/node_process.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace fulmar::review3 {

using soak::Clock;
using soak::Json;
using soak::Millis;

// Path prefixes of the queues. The second one has a service of its own, without runners.
inline const std::string firstQueue { "/plans/" };
inline const std::string secondQueue { "/routes/" };
constexpr auto secondService = "route-ops";

// A small deployment on loopback addresses: the store, the interface of machines, runners of one service, two
// queues, and the program's processes. The stand-ins are those of the project's own soak test.
class Deployment {
public:
    // Reads PROGRAM, SETTINGS (the template) and FOLDER (for settings and logs) from the environment.
    Deployment(soak::Record&, std::size_t nodes, std::size_t runners);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Starts all and waits until the processes are ready. Throws std::runtime_error if they don't get so.
    void start();
    void run(Millis duration);
    // Until the condition holds or the time is over.
    bool runUntil(Millis longest, const std::function<bool()>& condition);
    void crash(std::size_t runner, Millis downFor);
    // "" without an answer, the status if it is not 200, else the state.
    std::string stateOf(const std::string& job, const std::string& prefix = firstQueue);
    long submit(const std::string& job, const Json& body, const std::string& prefix = firstQueue);
    long cancel(const std::string& job, const std::string& prefix);
    // An entry of the list of machines, besides those of the first service.
    void addMachine(Json machine);
    [[nodiscard]] review::Store& store() { return m_store; }
    [[nodiscard]] const std::string& network() const { return m_network; }
    [[nodiscard]] soak::Fleet& fleet() { return m_fleet; }
    [[nodiscard]] soak::Record& record() { return m_record; }
    [[nodiscard]] soak::NodeProcess& node(std::size_t number) { return *m_nodes[number]; }
    // After the call the runners have ended, and their facts may be read.
    const std::vector<soak::RunFact>& end();

private:
    review::HttpResponse answerMachines(const review::HttpRequest&);
    soak::Answer call(const std::string& method, const std::string& path, const std::string& body);

    soak::Record& m_record;
    const std::string m_network;
    review::Store m_store;
    soak::Fleet m_fleet;
    std::mutex m_mutex;
    std::vector<Json> m_otherMachines;
    review::HttpServer m_machines;
    std::vector<std::unique_ptr<soak::NodeProcess>> m_nodes;
    std::vector<std::unique_ptr<soak::Connection>> m_connections;
    std::size_t m_next { 0 };
    std::multimap<Clock::time_point, std::function<void()>> m_pending;
};

// False with TROUBLE=0 in the environment.
bool hasTrouble();
// Calls the play with a record in record.txt of the case's folder (CASE); 2 if it throws.
int playCase(const std::function<int(soak::Record&)>& play);

} // namespace fulmar::review3
