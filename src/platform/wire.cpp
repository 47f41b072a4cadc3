#include "platform/wire.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

template <> struct nlohmann::adl_serializer<std::chrono::milliseconds> {
    static void to_json(json& out, std::chrono::milliseconds value) { out = value.count(); }
    static void from_json(const json& in, std::chrono::milliseconds& value)
    {
        value = std::chrono::milliseconds(in.get<std::int64_t>());
    }
};

namespace fulmar {

using nlohmann::json;

template <typename Tag> static void to_json(json& out, const Id<Tag>& id) { out = id.value(); }
template <typename Tag> static void from_json(const json& in, Id<Tag>& id)
{
    id = Id<Tag>(in.get<std::string>());
}

namespace {

template <typename E, std::size_t Count> using EnumNames = std::array<std::pair<E, std::string_view>, Count>;

constexpr EnumNames<VmPresence, 2> presenceNames { {
    { VmPresence::Live, "live" },
    { VmPresence::Leaving, "leaving" },
} };

constexpr EnumNames<TaskPhase, 6> phaseNames { {
    { TaskPhase::Running, "running" },
    { TaskPhase::Throttled, "throttled" },
    { TaskPhase::Finished, "finished" },
    { TaskPhase::Failed, "failed" },
    { TaskPhase::Stopped, "stopped" },
    { TaskPhase::LeaseLapsed, "lease-lapsed" },
} };

constexpr EnumNames<TaskOrder, 4> orderNames { {
    { TaskOrder::Checkpoint, "checkpoint" },
    { TaskOrder::Throttle, "throttle" },
    { TaskOrder::Resume, "resume" },
    { TaskOrder::Stop, "stop" },
} };

template <typename E, std::size_t Count> json nameOf(E value, const EnumNames<E, Count>& names)
{
    const auto* entry = std::ranges::find(names, value, &std::pair<E, std::string_view>::first);
    return entry == names.end() ? json() : json(entry->second);
}

// Throws if the name is not in the table; the decode functions turn the exception into BadInput.
template <typename E, std::size_t Count> E valueOf(const json& name, const EnumNames<E, Count>& names)
{
    const auto text = name.get<std::string>();
    const auto* entry = std::ranges::find(names, text, &std::pair<E, std::string_view>::second);
    if (entry == names.end())
        throw std::invalid_argument("unknown name " + text);
    return entry->first;
}

} // namespace

static void to_json(json& out, VmPresence value) { out = nameOf(value, presenceNames); }
static void from_json(const json& in, VmPresence& value) { value = valueOf(in, presenceNames); }
static void to_json(json& out, TaskPhase value) { out = nameOf(value, phaseNames); }
static void from_json(const json& in, TaskPhase& value) { value = valueOf(in, phaseNames); }
static void to_json(json& out, TaskOrder value) { out = nameOf(value, orderNames); }
static void from_json(const json& in, TaskOrder& value) { value = valueOf(in, orderNames); }

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Condition, key, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Write, key, value, deletes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Transaction, operation, conditions, writes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Row, key, value, version, operation, deleted)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Changes, rows, tableVersion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListedVm, vm, presence, address, zone, rack)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    TaskReport, task, start, phase, processorsUsed, memoryMbUsed, checkpoint, detail)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    WorkerReport, worker, pool, zone, rack, processors, memoryMb, accelerators, live, leaving, tasks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(
    TaskStart, task, job, operation, processors, memoryMb, accelerators, lease, checkpoint)

namespace wire {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaseRenewal, tasks, lease)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerChanges, workers, version, complete)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TaskOrderRequest, task, order, operation)

namespace {

constexpr auto versionKey = "version";
constexpr auto operationKey = "operation";

template <typename T> Result<T> parse(const std::string& text)
{
    try {
        return json::parse(text).get<T>();
    } catch (const std::exception& error) {
        return notRun(Reason::BadInput, error.what());
    }
}

template <typename T> Result<T> parseMember(const std::string& text, const char* key)
{
    try {
        return json::parse(text).at(key).get<T>();
    } catch (const std::exception& error) {
        return notRun(Reason::BadInput, error.what());
    }
}

template <typename T> Result<std::string> write(const T& value)
{
    try {
        return json(value).dump();
    } catch (const json::exception& error) {
        return notRun(Reason::BadInput, error.what());
    }
}

} // namespace

Result<std::string> encode(const Transaction& transaction) { return write(transaction); }
Result<std::string> encode(const TaskStart& start) { return write(start); }
Result<std::string> encode(const LeaseRenewal& renewal) { return write(renewal); }
Result<std::string> encode(const TaskOrderRequest& request) { return write(request); }
Result<std::string> encode(const OperationId& operation)
{
    return write(json { { operationKey, operation.value() } });
}

std::string encode(const Changes& changes) { return json(changes).dump(); }
std::string encode(const std::vector<ListedVm>& vms) { return json(vms).dump(); }
std::string encode(const WorkerChanges& changes) { return json(changes).dump(); }
std::string encodeVersion(Version version) { return json { { versionKey, version } }.dump(); }

Result<Transaction> decodeTransaction(const std::string& text) { return parse<Transaction>(text); }
Result<Changes> decodeChanges(const std::string& text) { return parse<Changes>(text); }
Result<std::vector<ListedVm>> decodeListedVms(const std::string& text)
{
    return parse<std::vector<ListedVm>>(text);
}
Result<WorkerChanges> decodeWorkerChanges(const std::string& text) { return parse<WorkerChanges>(text); }
Result<TaskStart> decodeTaskStart(const std::string& text) { return parse<TaskStart>(text); }
Result<LeaseRenewal> decodeLeaseRenewal(const std::string& text) { return parse<LeaseRenewal>(text); }
Result<TaskOrderRequest> decodeTaskOrder(const std::string& text) { return parse<TaskOrderRequest>(text); }
Result<Version> decodeVersion(const std::string& text) { return parseMember<Version>(text, versionKey); }
Result<OperationId> decodeOperation(const std::string& text)
{
    return parseMember<OperationId>(text, operationKey);
}

} // namespace wire
} // namespace fulmar
