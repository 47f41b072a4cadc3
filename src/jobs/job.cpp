#include "jobs/job.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace fulmar::jobs {

using Json = nlohmann::json;

namespace {

constexpr std::array<std::string_view, 5> stateNames { "queued", "running", "completed", "failed",
    "cancelled" };

// Steps are stored as arrays in this order of fields, which keeps rows small.
Json encodeStep(const Step& step)
{
    return Json::array({ step.count, step.perTask.cpu, step.perTask.memoryMb, step.perTask.accelerators,
        step.estimate.count(), step.after, step.hasCheckpoints, step.isGang, step.wantsOneRack,
        step.requiredLabel, step.dataRack, step.maxPerRunner, step.allowsCopies, step.isLongRunning,
        step.image, step.tailLatencyTarget.count(), step.isBestEffort, step.maxUnavailable });
}

Step decodeStep(const Json& json)
{
    Step step;
    std::size_t field = 0;
    auto take = [&](auto& target) { json.at(field++).get_to(target); };
    auto takeMillis = [&](Millis& target) { target = Millis(json.at(field++).get<std::int64_t>()); };
    take(step.count);
    take(step.perTask.cpu);
    take(step.perTask.memoryMb);
    take(step.perTask.accelerators);
    takeMillis(step.estimate);
    take(step.after);
    take(step.hasCheckpoints);
    take(step.isGang);
    take(step.wantsOneRack);
    take(step.requiredLabel);
    take(step.dataRack);
    take(step.maxPerRunner);
    take(step.allowsCopies);
    take(step.isLongRunning);
    take(step.image);
    takeMillis(step.tailLatencyTarget);
    take(step.isBestEffort);
    take(step.maxUnavailable);
    return step;
}

std::string packBits(const std::vector<bool>& bits)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text((bits.size() + 3) / 4, '0');
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        for (std::size_t bit = 0; bit < 4 && i * 4 + bit < bits.size(); ++bit)
            value |= bits[i * 4 + bit] ? 1U << bit : 0U;
        text[i] = digits[value];
    }
    return text;
}

std::vector<bool> unpackBits(const std::string& text, std::size_t size)
{
    std::vector<bool> bits(size);
    for (std::size_t i = 0; i < size && i / 4 < text.size(); ++i) {
        auto digit = text[i / 4];
        auto value = unsigned(digit <= '9' ? digit - '0' : digit - 'a' + 10);
        bits[i] = (value >> (i % 4) & 1U) != 0;
    }
    return bits;
}

// Lists by task; tasks without any entry are left out.
template <typename Entry> Json encodeByTask(const std::vector<std::vector<Entry>>& lists)
{
    auto json = Json::object();
    for (std::size_t i = 0; i < lists.size(); ++i)
        if (!lists[i].empty())
            json[std::to_string(i)] = lists[i];
    return json;
}

template <typename Entry> std::vector<std::vector<Entry>> decodeByTask(const Json& json, std::size_t size)
{
    std::vector<std::vector<Entry>> lists(size);
    for (const auto& [index, list] : json.items())
        list.get_to(lists.at(std::stoul(index)));
    return lists;
}

} // namespace

static void to_json(Json& json, const CrashRecord& crash)
{
    json = Json::array({ crash.attempt, crash.wasSuspect });
}

static void from_json(const Json& json, CrashRecord& crash)
{
    json.at(0).get_to(crash.attempt);
    json.at(1).get_to(crash.wasSuspect);
}

bool Job::isLongRunning() const
{
    return std::any_of(steps.begin(), steps.end(), [](const Step& step) { return step.isLongRunning; });
}

double Job::expectedWork() const
{
    double work = 0;
    for (const auto& step : steps)
        if (!step.isLongRunning)
            work += double(step.count) * double(step.perTask.cpu) / 1000
                * double(step.expectedRunTime().count());
    return work;
}

Millis Job::expectedCriticalPath() const
{
    std::vector<Millis> end(steps.size());
    Millis longest { 0 };
    for (std::size_t i = 0; i < steps.size(); ++i) {
        Millis begin { 0 };
        for (auto before : steps[i].after)
            if (before < i)
                begin = std::max(begin, end[before]);
        end[i] = begin + steps[i].expectedRunTime();
        longest = std::max(longest, end[i]);
    }
    return longest;
}

Millis Job::objective() const
{
    return Millis(std::llround(policy.stretch * double(expectedCriticalPath().count())))
        + policy.latencyAllowance;
}

std::string_view toString(JobState state) { return stateNames[std::size_t(state)]; }

std::string encodeJob(const Job& job)
{
    auto steps = Json::array();
    for (const auto& step : job.steps)
        steps.push_back(encodeStep(step));
    Json json { { "id", job.id.value() }, { "queue", job.queue }, { "pool", job.policy.pool.value() },
        { "priority", job.policy.priority }, { "failures", job.policy.maxFailures },
        { "stretch", job.policy.stretch }, { "target", job.policy.latencyAllowance.count() },
        { "spec", job.spec }, { "steps", std::move(steps) } };
    if (job.isScheduled()) {
        json["times"] = job.occurrences;
        json["first"] = job.firstStart.count();
        json["every"] = job.interval.count();
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Job> decodeJob(std::string_view text)
{
    auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        Job job;
        job.id = JobId(json.at("id").get<std::string>());
        json.at("queue").get_to(job.queue);
        job.policy.pool = PoolId(json.at("pool").get<std::string>());
        json.at("priority").get_to(job.policy.priority);
        json.at("failures").get_to(job.policy.maxFailures);
        json.at("stretch").get_to(job.policy.stretch);
        job.policy.latencyAllowance = Millis(json.at("target").get<std::int64_t>());
        json.at("spec").get_to(job.spec);
        for (const auto& step : json.at("steps"))
            job.steps.push_back(decodeStep(step));
        if (json.contains("times")) {
            json.at("times").get_to(job.occurrences);
            job.firstStart = Millis(json.at("first").get<std::int64_t>());
            job.interval = Millis(json.at("every").get<std::int64_t>());
        }
        return job;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encodeProgress(const JobProgress& progress)
{
    auto steps = Json::array();
    for (const auto& step : progress.steps) {
        auto row = Json::array({ step.occurrence, step.step, step.done.size(), packBits(step.done),
            encodeByTask(step.failures) });
        // Rows of earlier releases have no crashes.
        if (auto crashes = encodeByTask(step.crashes); !crashes.empty())
            row.push_back(std::move(crashes));
        steps.push_back(std::move(row));
    }
    return Json { { "state", progress.state }, { "steps", std::move(steps) } }.dump();
}

std::optional<JobProgress> decodeProgress(std::string_view text)
{
    auto json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        JobProgress progress;
        auto state = json.at("state").get<std::size_t>();
        if (state >= stateNames.size())
            return std::nullopt;
        progress.state = JobState(state);
        for (const auto& each : json.at("steps")) {
            JobProgress::StepProgress step;
            each.at(0).get_to(step.occurrence);
            each.at(1).get_to(step.step);
            auto size = each.at(2).get<std::size_t>();
            step.done = unpackBits(each.at(3).get<std::string>(), size);
            step.failures = decodeByTask<std::uint64_t>(each.at(4), size);
            step.crashes = decodeByTask<CrashRecord>(each.size() > 5 ? each.at(5) : Json::object(), size);
            progress.steps.push_back(std::move(step));
        }
        return progress;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace fulmar::jobs
