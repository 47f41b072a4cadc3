// Finished jobs are kept for their time and then forgotten. All processes are killed at once as that begins:
// none of the jobs may run again.
#include "../standin-2/world.h"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <set>

using namespace fulmar::review2;

namespace {

constexpr int nodeCount = 3;
constexpr int machineCount = 8;
constexpr int jobCount = 300;
constexpr int clientCount = 8;
constexpr std::int64_t statusSeconds = 45;
constexpr Millis playTime { 112'000 };
constexpr Millis observedTime { 10'000 };
constexpr Millis downTime { 1'000 };
constexpr auto host = "orders.example";

std::string jobPath(int number) { return fmt::format("/orders/{:016x}", 0xA000000 + number); }

std::string jobBody()
{
    Json step { { "count", 1 }, { "cpu", 500 }, { "mem-mb", 64 }, { "estimate-ms", 100 } };
    return Json { { "spec", R"({"ms":100})" }, { "steps", Json::array({ step }) } }.dump();
}

struct Play {
    Record& record;
    std::vector<std::unique_ptr<Node>>& nodes;

    std::optional<HttpResponse> call(
        int turn, const std::string& method, const std::string& path, const std::string& body)
    {
        auto& node = *nodes[std::size_t(turn) % nodes.size()];
        auto answer = callHttp(node.callers(), method, path, { { "Host", host }, { "Deadline-Ms", "3000" } },
            body, Millis(3'000));
        record.note(fmt::format("client {} {}: {}", method, path,
            answer ? std::to_string(answer->status) + " " + answer->body : "no answer"));
        return answer;
    }

    // Hands in the job until it is accepted.
    void submit(int number)
    {
        for (int turn = number;; ++turn) {
            auto answer = call(turn, "POST", jobPath(number), jobBody());
            if (answer && answer->status == 200)
                return;
            sleepFor(Millis(300));
        }
    }

    bool isCompleted(int number)
    {
        auto answer = call(number, "GET", jobPath(number), "");
        return answer && answer->status == 200 && Json::parse(answer->body).value("state", "") == "completed";
    }
};

void inParallel(const std::function<void(int)>& work)
{
    std::vector<std::thread> threads;
    for (int client = 0; client < clientCount; ++client)
        threads.emplace_back([&work, client] {
            for (int number = client; number < jobCount; number += clientCount)
                work(number);
        });
    for (auto& thread : threads)
        thread.join();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    auto hasTrouble = std::string(argv[3]) != "0";
    Record record(argv[1]);
    Store store(loopbackIp(2));
    Fleet fleet(store, record, loopbackIp(3));
    for (int i = 0; i < machineCount; ++i)
        fleet.add(loopbackIp(100 + i), fmt::format("m-{:03}", i), "orders", 64'000, {});
    Deployment deployment { store.address(), fleet.address(), statusSeconds, 6'000,
        "target/src/programs/fulmarramp", "deploy/node.ini", argv[2] };
    Json route { { "name", "r-orders" }, { "host", host }, { "path-prefix", "/orders/" },
        { "kind", "non_idempotent" }, { "timeout-ms", 3'000 }, { "target-latency-ms", 60'000 },
        { "priority", 0 }, { "service", "orders" }, { "attempts", 3 }, { "stretch", 2 } };
    store.put("op", "config",
        Json { { "version", 1 }, { "routes", Json::array({ route }) },
            { "services", Json::array({ { { "name", "orders" }, { "preconditions", false } } }) },
            { "limits", Json::object() } }
            .dump());
    fleet.begin();
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < nodeCount; ++i)
        nodes.push_back(
            std::make_unique<Node>(record, deployment, fmt::format("front-{}", i), loopbackIp(11 + i)));
    for (auto& node : nodes)
        node->start();
    auto until = Clock::now() + playTime;
    Play play { record, nodes };
    for (auto& node : nodes)
        while (!node->isReady()) {
            if (record.seconds() > 20)
                return 2;
            sleepFor(Millis(100));
        }
    inParallel([&](int number) { play.submit(number); });
    std::atomic<int> completed { 0 };
    inParallel([&](int number) {
        for (int wait = 0; wait < 20; ++wait) {
            if (play.isCompleted(number)) {
                ++completed;
                return;
            }
            sleepFor(Millis(500));
        }
    });
    record.note(fmt::format("{} jobs are shown as completed", completed.load()));
    if (completed != jobCount)
        return 2;
    std::atomic<double> firstRemovalAt { 0 };
    std::atomic<std::size_t> removals { 0 };
    store.setOnCommit([&](const std::vector<Store::Change>& changes) {
        auto count = std::count_if(
            changes.begin(), changes.end(), [](const Store::Change& change) { return change.isRemoval; });
        if (count == 0)
            return;
        record.note(fmt::format("store: a transaction removes {} rows", count));
        removals += std::size_t(count);
        if (firstRemovalAt == 0)
            firstRemovalAt = record.seconds();
    });
    while (Clock::now() < until && firstRemovalAt == 0)
        sleepFor(Millis(1));
    if (firstRemovalAt == 0) {
        record.note("no job was removed in time");
        return 2;
    }
    if (hasTrouble) {
        for (auto& node : nodes)
            node->sendKill();
        for (auto& node : nodes)
            node->kill();
        sleepFor(downTime);
        for (auto& node : nodes)
            node->start();
    }
    auto judgeAt = std::min(until, Clock::now() + observedTime);
    while (Clock::now() < judgeAt)
        sleepFor(Millis(50));
    for (auto& node : nodes)
        node->kill();
    fleet.end();
    store.end();
    std::map<std::string, RunFact> done;
    int again = 0;
    for (const auto& fact : fleet.facts()) {
        auto before = done.find(fact.task);
        if (before != done.end()) {
            ++again;
            record.note(
                fmt::format("TWICE: {} run {} started at {:.3f} s on {}, though run {} had ended done at "
                            "{:.3f} s, noted at {:.3f} s",
                    fact.task, fact.attempt, fact.startedAt, fact.runner, before->second.attempt,
                    *before->second.endedAt, *before->second.notedAt));
        }
        if (fact.how == "done" && fact.notedAt)
            done.insert_or_assign(fact.task, fact);
    }
    auto verdict = fmt::format("{} tasks ended done, {} rows were removed, {} tasks were started again",
        done.size(), removals.load(), again);
    record.note(verdict);
    std::puts(verdict.c_str());
    return again > 0 ? 1 : 0;
}
