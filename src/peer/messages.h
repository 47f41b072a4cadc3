#pragma once

#include "core/event.h"
#include "platform/table.h"
#include "serve/dispatcher.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fulmar {

enum class PeerRole : std::uint8_t {
    Entry,
    Control,
};

[[nodiscard]] inline std::string_view toString(PeerRole role)
{
    return role == PeerRole::Entry ? "entry" : "control";
}

// A process of the system: its identity, location and peer address. Each start has a new incarnation.
struct PeerInfo {
    ProcessId process;
    PeerRole role { PeerRole::Entry };
    RegionId region;
    ZoneId zone;
    // "host:port" of the process's peer server.
    std::string address;
    std::uint64_t incarnation { 0 };
    // The process's VM in the platform's list.
    VmId vm;
    // Entries only: whether the row entry/<process> has this incarnation.
    bool isRegistered { false };

    bool operator==(const PeerInfo&) const = default;
};

// Whether the platform's list shows a VM as leaving.
struct ListedTarget {
    VmId vm;
    bool isLeaving { false };

    bool operator==(const ListedTarget&) const = default;
};

// The request and the reply of an exchange between two processes.
struct Exchange {
    PeerInfo from;
    EventStamp stamp;
    // Version of the sender's replica of the configuration.
    Version version { 0 };
    // `changes` has all rows changed after version `base`; only a receiver at `base` or later can apply them.
    Version base { 0 };
    Changes changes;
    // Only between entries.
    std::optional<serve::PeerLoad> load;
    std::vector<PeerInfo> known;
    // Only from control processes: VMs that the platform's list shows as leaving, or as live again.
    std::vector<ListedTarget> listed;
};

struct ConfirmQuestion {
    EventStamp stamp;
    VmId vm;
    Version version { 0 };
};

// An entry's state for a leaving VM: the configuration it has applied and its calls in flight to the VM.
struct Confirmation {
    EventStamp stamp;
    Version appliedVersion { 0 };
    std::uint32_t inFlight { 0 };
    std::uint64_t incarnation { 0 };
    // Unregistered entries that received their configuration from this one.
    std::vector<PeerInfo> dependents;
    // The operation that wrote the applied version of the VM's row.
    OperationId row;
};

struct KeyQuestion {
    EventStamp stamp;
    serve::KeyQuestion question;
};

using HeaderField = std::pair<std::string, std::string>;

// A target's complete answer.
struct HttpAnswer {
    std::uint32_t status { 0 };
    std::vector<HeaderField> headers;
    std::string body;
};

struct KeyAnswer {
    EventStamp stamp;
    serve::OwnerReply owner;
    // Empty unless the owner's knowledge is Kept.
    HttpAnswer answer;
};

// A request on a task, forwarded to the control process that owns the task's shard.
struct TaskCall {
    EventStamp stamp;
    // POST, GET or DELETE from callers; LIST from operators, for all workers and tasks.
    std::string method;
    // For POST, the id of the new task.
    TaskId task;
    std::string body;
};

struct TaskAnswer {
    EventStamp stamp;
    std::uint32_t status { 0 };
    Outcome outcome { Outcome::MayHaveRun };
    std::string body;
};

struct TimelineQuestion {
    EventStamp stamp;
    std::uint32_t limit { 0 };
};

struct TimelineAnswer {
    EventStamp stamp;
    std::vector<Event> events;
};

} // namespace fulmar
