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

// A process of the system as others reach it. Each start of a process has a new incarnation.
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
    // Entries only: its row entry/<process> carries this incarnation.
    bool isRegistered { false };

    bool operator==(const PeerInfo&) const = default;
};

// What the platform's list says of a VM.
struct ListedTarget {
    VmId vm;
    bool isLeaving { false };

    bool operator==(const ListedTarget&) const = default;
};

// What two processes tell each other.
struct Exchange {
    PeerInfo from;
    EventStamp stamp;
    // Version of the sender's copy of the configuration.
    Version version { 0 };
    // All rows changed after `base`, up to changes.tableVersion; of use only to a receiver that has `base`.
    Version base { 0 };
    Changes changes;
    // From entries to entries.
    std::optional<serve::PeerLoad> load;
    std::vector<PeerInfo> known;
    // From control processes: VMs that the platform's list shows as leaving, or again as live.
    std::vector<ListedTarget> listed;
};

struct ConfirmQuestion {
    EventStamp stamp;
    VmId vm;
    Version version { 0 };
};

// An entry's word on a leaving VM: what it has applied and what it still has in flight there.
struct Confirmation {
    EventStamp stamp;
    Version appliedVersion { 0 };
    std::uint32_t inFlight { 0 };
    std::uint64_t incarnation { 0 };
    // Unregistered entries that received a copy from this one.
    std::vector<PeerInfo> dependents;
    // The operation that wrote the VM's row that is in force.
    OperationId row;
};

struct KeyQuestion {
    EventStamp stamp;
    serve::KeyQuestion question;
};

using HeaderField = std::pair<std::string, std::string>;

// A whole answer of a target.
struct HttpAnswer {
    std::uint32_t status { 0 };
    std::vector<HeaderField> headers;
    std::string body;
};

struct KeyAnswer {
    EventStamp stamp;
    serve::OwnerReply owner;
    // Present when the owner kept it.
    HttpAnswer answer;
};

// A caller's request on a task, passed from an entry to the control process that owns the task's shard.
struct TaskCall {
    EventStamp stamp;
    // POST, GET or DELETE.
    std::string method;
    // For POST the id that the task gets.
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
