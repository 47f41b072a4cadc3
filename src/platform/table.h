#pragma once

#include "core/types.h"
#include "core/verdict.h"

#include <concepts>
#include <string>
#include <vector>

namespace fulmar {

// A row of the platform's table. `operation` identifies the transaction that last wrote it, so that a writer
// whose reply was lost can find out by a read whether its write took effect.
struct Row {
    std::string key;
    std::string value;
    Version version { 0 };
    OperationId operation;
    bool deleted { false };

    bool operator==(const Row&) const = default;
};

// Requires that the row has this version when the transaction commits; 0 requires that it does not exist.
struct Condition {
    std::string key;
    Version version { 0 };
};

struct Write {
    std::string key;
    std::string value;
    bool deletes { false };
};

// Atomic: makes all writes if all conditions hold, and none otherwise.
struct Transaction {
    OperationId operation;
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

// Rows changed after the requested version, deleted ones included, and the table's version at the read.
struct Changes {
    std::vector<Row> rows;
    Version tableVersion { 0 };
};

// A VM's state in the platform's VM list, which lags behind the actual state.
enum class VmPresence : std::uint8_t {
    Live,
    Leaving,
};

struct ListedVm {
    VmId vm;
    VmPresence presence { VmPresence::Live };
    std::string address;
    ZoneId zone;
    RackId rack;
};

// Interface to the platform's table, object store and VMs. Calls block, for at most the client's time-out.
// After Outcome::MayHaveRun a write may have taken effect although its reply was lost; Reason::Conflict
// (always NotRun) means that a condition did not hold.
template <typename P>
concept PlatformClient = requires(P& platform, const Transaction& transaction, const std::string& text,
    Version since, const VmId& vm, const OperationId& operation) {
    // Returns the version of all rows written by the transaction.
    {
        platform.commit(transaction)
    } -> std::same_as<Result<Version>>;
    // Returns the rows whose key starts with the prefix and whose version is greater than `since`.
    {
        platform.read(text, since)
    } -> std::same_as<Result<Changes>>;
    {
        platform.putObject(text, text)
    } -> std::same_as<Result<void>>;
    {
        platform.getObject(text)
    } -> std::same_as<Result<std::string>>;
    {
        platform.listVms()
    } -> std::same_as<Result<std::vector<ListedVm>>>;
    // Requests a reboot. Idempotent: repeated requests with the same operation reboot the VM once.
    {
        platform.rebootVm(vm, operation)
    } -> std::same_as<Result<void>>;
};

} // namespace fulmar
