#pragma once

#include "deployment.h"

#include <algorithm>
#include <fmt/format.h>

namespace fulmar::review3 {

constexpr Millis beatEvery { 1'500 };
// A runner takes that long to begin a task, and then answers.
constexpr Millis startTime { 30 };
constexpr Millis gangWait { 3'000 };
constexpr Millis maxWait { 2'000 };
// That a draining runner has at least, as it tells.
constexpr Millis remainingTime { 10'000 };
constexpr std::size_t gangSize = 2;
constexpr std::size_t serviceRunners = 3;

// The runners of the second service. Nothing disrupts them, so that they need no leases.
class ServiceRunners {
public:
    ServiceRunners(soak::Record& record, const std::string& network)
        : m_record(record)
    {
        for (std::size_t i = 0; i < serviceRunners; ++i)
            m_servers.push_back(std::make_unique<review::HttpServer>(network + std::to_string(200 + i), 0,
                [this, i](const review::HttpRequest& request) { return answer(i, request); }));
    }

    void beat(review::Store& store)
    {
        std::lock_guard lock(m_mutex);
        ++m_seq;
        for (std::size_t i = 0; i < serviceRunners; ++i) {
            auto isDraining = m_draining.contains(i);
            Json row { { "service", secondService }, { "address", m_servers[i]->address() },
                { "zone", "zone-a" }, { "version", "v1" }, { "slots", 8 },
                { "state", isDraining ? "draining" : "ready" }, { "cold-remaining-ms", 0 },
                { "machine", fmt::format("m-90{}", i) }, { "capacity", capacity() },
                { "labels", { "a", "r1-9" } }, { "clock-ms", clock() }, { "born", m_born },
                { "seq", m_seq } };
            if (isDraining)
                row["remaining-ms"] = remainingTime.count();
            store.put("servers", fmt::format("i-900{}", i), row);
        }
    }
    // In the list of machines.
    static void announce(Deployment& deployment)
    {
        for (std::size_t i = 0; i < serviceRunners; ++i)
            deployment.addMachine({ { "machine", fmt::format("m-90{}", i) }, { "pool", secondService },
                { "state", "up" }, { "zone", "zone-a" }, { "labels", { "a", "r1-9" } },
                { "capacity", capacity() }, { "id", fmt::format("i-900{}", i) } });
    }
    // Returns once the store has accepted the report.
    void drain(std::size_t runner, review::Store& store)
    {
        {
            std::lock_guard lock(m_mutex);
            m_draining[runner] = Clock::now();
        }
        beat(store);
        std::lock_guard lock(m_mutex);
        m_draining[runner] = Clock::now();
        m_record.write(fmt::format("m-90{} is reported as draining", runner));
    }
    // Of the runner that was given most tasks.
    [[nodiscard]] std::size_t busiest() const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::size_t, std::size_t> counts;
        for (const auto& [key, run] : m_runs)
            ++counts[run.runner];
        return std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) {
            return a.second < b.second;
        })->first;
    }
    // Tasks that were started on a runner that long after it was reported as draining.
    [[nodiscard]] std::size_t startsAfterDraining(Millis longest) const
    {
        std::lock_guard lock(m_mutex);
        return std::size_t(std::count_if(m_startsOfDraining.begin(), m_startsOfDraining.end(),
            [longest](Clock::duration age) { return age > longest; }));
    }
    [[nodiscard]] std::size_t starts() const
    {
        std::lock_guard lock(m_mutex);
        return m_starts;
    }
    [[nodiscard]] int aloneEnds() const
    {
        std::lock_guard lock(m_mutex);
        return m_aloneEnds;
    }

private:
    static Json capacity() { return { { "cpu", 16'000 }, { "mem-mb", 32'768 }, { "gpu", 0 } }; }

    using Moment = Clock::time_point;
    struct Key {
        std::string task;
        std::int64_t attempt;
        auto operator<=>(const Key&) const = default;
    };
    struct Run {
        std::size_t runner;
        bool isGang;
        Millis work;
        Moment begun;
        // Of a member of a gang: when all were there.
        std::optional<Moment> complete;
    };

    review::HttpResponse answer(std::size_t runner, const review::HttpRequest& request)
    {
        auto order = Json::parse(request.body, nullptr, false);
        if (!order.is_object())
            return review::jsonResponse(200, Json::object());
        {
            std::lock_guard lock(m_mutex);
            auto token = order.value("fencing-token", std::int64_t(0));
            if (token < m_tokens[runner])
                return review::jsonResponse(409, { { "clock-ms", clock() }, { "reason", "fence" } });
            m_tokens[runner] = token;
        }
        if (request.path == "/api/run-start") {
            std::this_thread::sleep_for(startTime);
            return start(runner, order);
        }
        return request.path == "/api/hold" ? hold(runner, order) : stop(runner, order);
    }

    review::HttpResponse stop(std::size_t runner, const Json& order)
    {
        std::lock_guard lock(m_mutex);
        Key key { order.at("task").get<std::string>(), order.at("attempt").get<std::int64_t>() };
        m_over[key.task] = std::max(m_over[key.task], key.attempt);
        if (auto run = m_runs.find(key); run != m_runs.end() && run->second.runner == runner) {
            m_finished[runner].push_back({ ++m_ends[runner], key.task, key.attempt, "stopped", "" });
            m_record.write(fmt::format("run {}#{} on m-90{} is stopped", key.task, key.attempt, runner));
            m_runs.erase(run);
        }
        return review::jsonResponse(200, { { "clock-ms", clock() } });
    }

    review::HttpResponse start(std::size_t runner, const Json& order)
    {
        std::lock_guard lock(m_mutex);
        Key key { order.at("task").get<std::string>(), order.at("attempt").get<std::int64_t>() };
        auto spec = Json::parse(order.at("spec").get<std::string>());
        auto isGang = spec.value("gang", false);
        auto now = Clock::now();
        if (auto over = m_over.find(key.task); over != m_over.end() && key.attempt <= over->second)
            return review::jsonResponse(409, { { "clock-ms", clock() }, { "reason", "old" } });
        m_starts += m_runs.contains(key) ? 0 : 1;
        if (auto draining = m_draining.find(runner); draining != m_draining.end() && !m_runs.contains(key))
            m_startsOfDraining.push_back(now - draining->second);
        if (m_runs.emplace(key, Run { runner, isGang, Millis(spec.at("ms")), now, {} }).second && isGang) {
            m_record.write(fmt::format("member {}#{} begins on m-90{}", key.task, key.attempt, runner));
            completeGang(key.attempt, now);
        }
        return review::jsonResponse(200, { { "clock-ms", clock() } });
    }

    // Only gangs of one attempt each are in this play.
    void completeGang(std::int64_t attempt, Moment now)
    {
        std::vector<Run*> members;
        for (auto& [key, run] : m_runs)
            if (run.isGang && key.attempt == attempt)
                members.push_back(&run);
        if (members.size() < gangSize)
            return;
        m_record.write(fmt::format("gang #{} is complete", attempt));
        for (auto* member : members)
            member->complete = now;
    }

    void endRuns()
    {
        auto now = Clock::now();
        std::erase_if(m_runs, [&](const auto& each) {
            const auto& [key, run] = each;
            auto isAlone = run.isGang && !run.complete && now >= run.begun + gangWait;
            auto isDone = !isAlone && (!run.isGang || run.complete)
                && now >= run.complete.value_or(run.begun) + run.work;
            if (!isAlone && !isDone)
                return false;
            const auto* how = isAlone ? "alone" : "done";
            m_finished[run.runner].push_back({ ++m_ends[run.runner], key.task, key.attempt, how, "" });
            m_over[key.task] = std::max(m_over[key.task], key.attempt);
            m_aloneEnds += isAlone ? 1 : 0;
            if (run.isGang)
                m_record.write(
                    fmt::format("member {}#{} on m-90{} ends: {}", key.task, key.attempt, run.runner, how));
            return true;
        });
    }

    review::HttpResponse hold(std::size_t runner, const Json& order)
    {
        std::unique_lock lock(m_mutex);
        auto lastSeen = order.value("last-seen", std::int64_t(0));
        std::erase_if(m_finished[runner], [lastSeen](const Json& end) { return end.at(0) <= lastSeen; });
        auto until = Clock::now() + std::min(Millis(order.value("wait-ms", 0)), maxWait);
        for (endRuns(); m_finished[runner].empty() && Clock::now() < until; endRuns()) {
            lock.unlock();
            std::this_thread::sleep_for(Millis(10));
            lock.lock();
        }
        Json body { { "clock-ms", clock() }, { "born", m_born }, { "running", Json::array() } };
        for (const auto& [key, run] : m_runs)
            if (run.runner == runner)
                body["running"].push_back({ key.task, key.attempt, "", 100 });
        body["finished"] = Json(m_finished[runner]);
        if (body["finished"].size() > 500)
            body["finished"].erase(body["finished"].begin() + 500, body["finished"].end());
        return review::jsonResponse(200, body);
    }

    [[nodiscard]] std::int64_t clock() const { return soak::inMillis(m_record.now()) + 1'000; }

    soak::Record& m_record;
    mutable std::mutex m_mutex;
    const std::int64_t m_born {
        std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count()
    };
    std::int64_t m_seq { 0 };
    int m_aloneEnds { 0 };
    std::map<std::size_t, Clock::time_point> m_draining;
    std::vector<Clock::duration> m_startsOfDraining;
    std::map<Key, Run> m_runs;
    std::map<std::size_t, std::int64_t> m_tokens;
    std::size_t m_starts { 0 };
    // Highest attempt of each task that was stopped or ended.
    std::map<std::string, std::int64_t> m_over;
    std::map<std::size_t, std::int64_t> m_ends;
    std::map<std::size_t, std::vector<Json>> m_finished;
    std::vector<std::unique_ptr<review::HttpServer>> m_servers;
};

// All tasks of one step.
inline Json serviceJob(int count, int cpu, Millis time, bool isGang)
{
    Json step { { "count", count }, { "cpu", cpu }, { "mem-mb", 10 }, { "estimate-ms", time.count() } };
    if (isGang)
        step["gang"] = true;
    return { { "spec", Json { { "ms", time.count() }, { "gang", isGang } }.dump() },
        { "steps", Json::array({ step }) } };
}

} // namespace fulmar::review3
