#include "operate/schema.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <vector>

namespace fulmar::operate {

namespace {

constexpr auto text = FieldType::Text;
constexpr auto number = FieldType::Number;
constexpr auto age = FieldType::Age;

constexpr std::array subjects { Subject::Vms, Subject::Pools, Subject::Services, Subject::Targets,
    Subject::Workers, Subject::Tasks, Subject::Jobs, Subject::Teams, Subject::Waves, Subject::Moves,
    Subject::Leases, Subject::Config, Subject::Peers, Subject::Commands };

constexpr std::array vmFields { Field { "vm", text }, Field { "pool", text }, Field { "state", text },
    Field { "zone", text }, Field { "region", text }, Field { "rack", text }, Field { "since", age },
    Field { "maintained", age }, Field { "epoch", number }, Field { "version", number },
    Field { "address", text }, Field { "cause", text } };
constexpr std::array poolFields { Field { "pool", text }, Field { "vms", number },
    Field { "serving", number }, Field { "leaving", number }, Field { "maintenance", number },
    Field { "failed", number }, Field { "budget", number }, Field { "spent", number },
    Field { "spare", text }, Field { "version", number } };
constexpr std::array serviceFields { Field { "service", text }, Field { "pool", text },
    Field { "slots", number }, Field { "connections", number }, Field { "queueLimit", number },
    Field { "timeoutMs", number }, Field { "retryShare", number }, Field { "version", number } };
constexpr std::array targetFields { Field { "vm", text }, Field { "service", text }, Field { "zone", text },
    Field { "state", text }, Field { "inFlight", number }, Field { "slots", number },
    Field { "process", text } };
constexpr std::array workerFields { Field { "vm", text }, Field { "pool", text }, Field { "zone", text },
    Field { "rack", text }, Field { "state", text }, Field { "tasks", number },
    Field { "processors", number }, Field { "memoryMb", number }, Field { "reason", text } };
constexpr std::array taskFields { Field { "task", text }, Field { "job", text }, Field { "team", text },
    Field { "pool", text }, Field { "state", text }, Field { "worker", text }, Field { "attempts", number },
    Field { "since", age }, Field { "reason", text } };
constexpr std::array jobFields { Field { "job", text }, Field { "pool", text }, Field { "team", text },
    Field { "processors", number }, Field { "memoryMb", number }, Field { "accelerators", number },
    Field { "runTimeS", number }, Field { "idempotent", text }, Field { "urgent", text },
    Field { "version", number } };
constexpr std::array teamFields { Field { "team", text }, Field { "processors", number },
    Field { "memoryMb", number }, Field { "accelerators", number }, Field { "version", number } };
constexpr std::array waveFields { Field { "wave", text }, Field { "pool", text }, Field { "state", text },
    Field { "done", number }, Field { "total", number }, Field { "since", age }, Field { "reason", text } };
constexpr std::array moveFields { Field { "move", text }, Field { "vm", text }, Field { "from", text },
    Field { "to", text }, Field { "state", text }, Field { "since", age }, Field { "reason", text } };
constexpr std::array leaseFields { Field { "lease", text }, Field { "holder", text },
    Field { "epoch", number }, Field { "version", number } };
constexpr std::array configFields { Field { "key", text }, Field { "version", number },
    Field { "operation", text } };
constexpr std::array peerFields { Field { "process", text }, Field { "role", text }, Field { "zone", text },
    Field { "heard", age }, Field { "version", number } };
constexpr std::array commandFields { Field { "command", text }, Field { "who", text },
    Field { "state", text }, Field { "statement", text }, Field { "ordered", age },
    Field { "basedOn", number }, Field { "detail", text } };

} // namespace

std::span<const Subject> allSubjects() { return subjects; }

std::string_view toString(Subject subject)
{
    switch (subject) {
    case Subject::Vms:
        return "vms";
    case Subject::Pools:
        return "pools";
    case Subject::Services:
        return "services";
    case Subject::Targets:
        return "targets";
    case Subject::Workers:
        return "workers";
    case Subject::Tasks:
        return "tasks";
    case Subject::Jobs:
        return "jobs";
    case Subject::Teams:
        return "teams";
    case Subject::Waves:
        return "waves";
    case Subject::Moves:
        return "moves";
    case Subject::Leases:
        return "leases";
    case Subject::Config:
        return "config";
    case Subject::Peers:
        return "peers";
    case Subject::Commands:
        return "commands";
    }
    return "vms";
}

std::span<const Field> fieldsOf(Subject subject)
{
    switch (subject) {
    case Subject::Vms:
        return vmFields;
    case Subject::Pools:
        return poolFields;
    case Subject::Services:
        return serviceFields;
    case Subject::Targets:
        return targetFields;
    case Subject::Workers:
        return workerFields;
    case Subject::Tasks:
        return taskFields;
    case Subject::Jobs:
        return jobFields;
    case Subject::Teams:
        return teamFields;
    case Subject::Waves:
        return waveFields;
    case Subject::Moves:
        return moveFields;
    case Subject::Leases:
        return leaseFields;
    case Subject::Config:
        return configFields;
    case Subject::Peers:
        return peerFields;
    case Subject::Commands:
        return commandFields;
    }
    return vmFields;
}

std::optional<std::size_t> fieldIndex(Subject subject, std::string_view name)
{
    auto fields = fieldsOf(subject);
    auto position
        = std::find_if(fields.begin(), fields.end(), [&](const Field& field) { return field.name == name; });
    if (position == fields.end())
        return std::nullopt;
    return std::size_t(position - fields.begin());
}

std::string fieldNames(Subject subject)
{
    std::vector<std::string_view> names;
    for (const auto& field : fieldsOf(subject))
        names.push_back(field.name);
    return fmt::format("{}", fmt::join(names, ", "));
}

} // namespace fulmar::operate
