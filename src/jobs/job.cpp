#include "jobs/job.h"

#include <algorithm>
#include <array>
#include <bit>
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

// Packed rows have one number for each task of an occurrence: the last one if it is done, else failed runs
// and crashes in mixed radix.
constexpr std::string_view packedDigits = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
constexpr unsigned bitsPerDigit = 6;
// No task is started again after more crashes than this.
constexpr std::size_t maxPackedCrashes = 5;
// Pairs of a number of crashes, up to the maximum, and the number of them of which the task was a suspect.
constexpr std::uint64_t crashCounts = (maxPackedCrashes + 1) * (maxPackedCrashes + 2) / 2;
// Upper bounds of the text around the numbers: of a row, and by step and occurrence.
constexpr std::size_t packedRowBytes = 160;
constexpr std::size_t packedStepBytes = 11;
constexpr std::size_t packedOccurrenceBytes = 16;

struct PackedLayout {
    std::vector<std::size_t> tasks;
    std::uint64_t failures { 1 };
    bool hasCrashes { true };

    [[nodiscard]] std::uint64_t crashStates() const { return hasCrashes ? crashCounts : 1; }
    [[nodiscard]] std::uint64_t doneNumber() const { return failures * crashStates(); }
    [[nodiscard]] unsigned width() const { return unsigned(std::bit_width(doneNumber())); }
    [[nodiscard]] std::size_t tasksPerOccurrence() const
    {
        std::size_t sum = 0;
        for (auto count : tasks)
            sum += count;
        return sum;
    }
    [[nodiscard]] std::size_t maxOccurrenceBytes() const
    {
        auto bits = tasksPerOccurrence() * width();
        return packedOccurrenceBytes + (bits + bitsPerDigit - 1) / bitsPerDigit;
    }
    [[nodiscard]] std::size_t maxRowBytes(std::size_t occurrences) const
    {
        return packedRowBytes + tasks.size() * packedStepBytes + occurrences * maxOccurrenceBytes();
    }
};

PackedLayout packedLayoutOf(const Job& job, std::size_t maxRowBytes)
{
    PackedLayout layout;
    for (const auto& step : job.steps)
        layout.tasks.push_back(step.count);
    // A job that has not failed has no task with more failures than one less.
    layout.failures = std::max(1U, job.policy.maxFailures);
    layout.hasCrashes = layout.maxRowBytes(1) <= maxRowBytes;
    return layout;
}

std::uint64_t packTask(const JobProgress::StepProgress& step, std::size_t index, const PackedLayout& layout)
{
    if (step.done[index])
        return layout.doneNumber();
    auto number = std::min<std::uint64_t>(step.failures[index].size(), layout.failures - 1);
    if (!layout.hasCrashes)
        return number;
    const auto& all = step.crashes[index];
    auto crashes = std::min(all.size(), maxPackedCrashes);
    auto suspected = std::size_t(
        std::count_if(all.begin(), all.end(), [](const CrashRecord& crash) { return crash.wasSuspect; }));
    return number * crashCounts + crashes * (crashes + 1) / 2 + std::min(crashes, suspected);
}

void unpackTask(
    std::uint64_t number, JobProgress::StepProgress& step, std::size_t index, const PackedLayout& layout)
{
    step.done[index] = number == layout.doneNumber();
    if (step.done[index])
        return;
    step.failures[index].resize(number / layout.crashStates());
    auto left = number % layout.crashStates();
    std::size_t crashes = 0;
    while (left > crashes)
        left -= ++crashes;
    for (std::size_t i = 0; i < crashes; ++i)
        step.crashes[index].push_back({ 0, i < left });
}

std::string packNumbers(const std::vector<std::uint64_t>& numbers, unsigned width)
{
    std::string text((numbers.size() * width + bitsPerDigit - 1) / bitsPerDigit, packedDigits[0]);
    std::size_t position = 0;
    unsigned digit = 0;
    for (auto number : numbers) {
        for (unsigned bit = 0; bit < width; ++bit, ++position) {
            digit |= unsigned(number >> bit & 1U) << (position % bitsPerDigit);
            text[position / bitsPerDigit] = packedDigits[digit];
            if (position % bitsPerDigit == bitsPerDigit - 1)
                digit = 0;
        }
    }
    return text;
}

std::uint64_t unpackNumber(const std::string& text, std::size_t at, unsigned width)
{
    std::uint64_t number = 0;
    for (unsigned bit = 0; bit < width; ++bit) {
        auto position = at * width + bit;
        auto digit = packedDigits.find(text.at(position / bitsPerDigit));
        if (digit == std::string_view::npos)
            throw std::out_of_range("packed digit");
        number |= std::uint64_t(digit >> (position % bitsPerDigit) & 1U) << bit;
    }
    return number;
}

std::uint64_t highestAttempt(const JobProgress& progress)
{
    auto highest = progress.countedUpTo;
    for (const auto& step : progress.steps) {
        for (const auto& attempts : step.failures)
            for (auto attempt : attempts)
                highest = std::max(highest, attempt);
        for (const auto& crashes : step.crashes)
            for (const auto& crash : crashes)
                highest = std::max(highest, crash.attempt);
    }
    return highest;
}

Json encodePacked(const JobProgress& progress, const PackedLayout& layout)
{
    std::vector<std::size_t> firstOfStep { 0 };
    for (auto count : layout.tasks)
        firstOfStep.push_back(firstOfStep.back() + count);
    auto open = Json::array();
    for (auto each = progress.steps.begin(); each != progress.steps.end();) {
        std::vector<std::uint64_t> numbers(firstOfStep.back());
        auto occurrence = each->occurrence;
        for (; each != progress.steps.end() && each->occurrence == occurrence; ++each)
            for (std::size_t index = 0; index < each->done.size(); ++index)
                numbers.at(firstOfStep.at(each->step) + index) = packTask(*each, index, layout);
        open.push_back(Json::array({ occurrence, packNumbers(numbers, layout.width()) }));
    }
    return { { "tasks", layout.tasks }, { "failures", layout.failures }, { "crashes", layout.hasCrashes },
        { "open", std::move(open) } };
}

std::vector<JobProgress::StepProgress> decodePacked(const Json& json)
{
    PackedLayout layout;
    json.at("tasks").get_to(layout.tasks);
    json.at("failures").get_to(layout.failures);
    json.at("crashes").get_to(layout.hasCrashes);
    std::vector<JobProgress::StepProgress> steps;
    for (const auto& each : json.at("open")) {
        auto text = each.at(1).get<std::string>();
        std::size_t task = 0;
        for (std::uint32_t step = 0; step < layout.tasks.size(); ++step) {
            JobProgress::StepProgress part { each.at(0).get<std::uint32_t>(), step, {}, {}, {} };
            auto size = layout.tasks[step];
            if (size > text.size() * bitsPerDigit)
                throw std::out_of_range("packed tasks");
            part.done.resize(size);
            part.failures.resize(size);
            part.crashes.resize(size);
            auto isTouched = false;
            for (std::size_t index = 0; index < size; ++index) {
                auto number = unpackNumber(text, task++, layout.width());
                isTouched |= number != 0;
                unpackTask(number, part, index, layout);
            }
            if (isTouched)
                steps.push_back(std::move(part));
        }
    }
    return steps;
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
    if (!job.team.empty())
        json["team"] = job.team.value();
    if (job.isBeyondShare)
        json["beyond"] = true;
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
        if (json.contains("team"))
            job.team = TeamId(json.at("team").get<std::string>());
        job.isBeyondShare = json.value("beyond", false);
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
        if (job.steps.empty())
            return std::nullopt;
        return job;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

bool fitsInRows(const Job& job, std::size_t maxRowBytes)
{
    return packedLayoutOf(job, maxRowBytes).maxRowBytes(1) <= maxRowBytes
        && encodeJob(job).size() <= maxRowBytes;
}

std::uint32_t maxOpenOccurrences(const Job& job, std::size_t maxRowBytes)
{
    auto layout = packedLayoutOf(job, maxRowBytes);
    auto fixed = layout.maxRowBytes(0);
    auto room = maxRowBytes > fixed ? (maxRowBytes - fixed) / layout.maxOccurrenceBytes() : 0;
    return std::uint32_t(std::max<std::size_t>(1, room));
}

std::string encodeProgress(const JobProgress& progress, const Job& job, std::size_t maxRowBytes)
{
    if (auto row = encodeProgress(progress); row.size() <= maxRowBytes)
        return row;
    return Json {
        { "state", progress.state }, { "ended", progress.endedOccurrences },
        { "counted", highestAttempt(progress) },
        { "packed", encodePacked(progress, packedLayoutOf(job, maxRowBytes)) }
    }.dump();
}

// A row with `ended`, `counted` or `packed` has no `steps`, so that an earlier release takes it for
// unreadable and runs no task again.
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
    if (progress.endedOccurrences == 0 && progress.countedUpTo == 0)
        return Json { { "state", progress.state }, { "steps", std::move(steps) } }.dump();
    return Json {
        { "state", progress.state }, { "ended", progress.endedOccurrences },
        { "counted", progress.countedUpTo }, { "open", std::move(steps) }
    }.dump();
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
        auto isOldFormat = json.contains("steps");
        if (!isOldFormat) {
            json.at("ended").get_to(progress.endedOccurrences);
            json.at("counted").get_to(progress.countedUpTo);
            if (json.contains("packed")) {
                progress.steps = decodePacked(json.at("packed"));
                return progress;
            }
        }
        for (const auto& each : json.at(isOldFormat ? "steps" : "open")) {
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
