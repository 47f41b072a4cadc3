#pragma once

#include "platform/table.h"
#include "platform/workers.h"

#include <string>
#include <vector>

// The JSON bodies exchanged with the platform. Decoding invalid JSON, and encoding a request whose text is
// not UTF-8, fail with BadInput (NotRun) and the parser's message.
namespace fulmar::wire {

struct LeaseRenewal {
    std::vector<TaskId> tasks;
    std::chrono::milliseconds lease {};
};

// Workers whose report changed after the requested version, or all workers if `complete`.
struct WorkerChanges {
    std::vector<WorkerReport> workers;
    Version version { 0 };
    bool complete { false };
};

struct TaskOrderRequest {
    TaskId task;
    TaskOrder order { TaskOrder::Checkpoint };
    OperationId operation;
};

[[nodiscard]] Result<std::string> encode(const Transaction&);
[[nodiscard]] Result<std::string> encode(const TaskStart&);
[[nodiscard]] Result<std::string> encode(const LeaseRenewal&);
[[nodiscard]] Result<std::string> encode(const TaskOrderRequest&);
[[nodiscard]] Result<std::string> encode(const OperationId&);

// Encoding a reply cannot fail: its text was decoded from JSON before.
[[nodiscard]] std::string encode(const Changes&);
[[nodiscard]] std::string encode(const std::vector<ListedVm>&);
[[nodiscard]] std::string encode(const WorkerChanges&);
[[nodiscard]] std::string encodeVersion(Version);

[[nodiscard]] Result<Transaction> decodeTransaction(const std::string&);
[[nodiscard]] Result<Changes> decodeChanges(const std::string&);
[[nodiscard]] Result<std::vector<ListedVm>> decodeListedVms(const std::string&);
[[nodiscard]] Result<WorkerChanges> decodeWorkerChanges(const std::string&);
[[nodiscard]] Result<TaskStart> decodeTaskStart(const std::string&);
[[nodiscard]] Result<LeaseRenewal> decodeLeaseRenewal(const std::string&);
[[nodiscard]] Result<TaskOrderRequest> decodeTaskOrder(const std::string&);
[[nodiscard]] Result<Version> decodeVersion(const std::string&);
[[nodiscard]] Result<OperationId> decodeOperation(const std::string&);

} // namespace fulmar::wire
