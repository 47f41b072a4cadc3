#pragma once

#include "core/types.h"
#include "core/verdict.h"

#include <concepts>
#include <string>
#include <vector>

namespace fulmar {

// A row of the platform's table. `operation` names the transaction that wrote it last, so that a writer whose
// reply was lost can read back whether its write took effect.
struct Row {
    std::string key;
    std::string value;
    Version version { 0 };
    OperationId operation;
    bool deleted { false };

    bool operator==(const Row&) const = default;
};

// The row must still have this version when the transaction commits; 0 means that it must not exist.
struct Condition {
    std::string key;
    Version version { 0 };
};

struct Write {
    std::string key;
    std::string value;
    bool deletes { false };
};

// All conditions hold and all writes are made, or nothing is done.
struct Transaction {
    OperationId operation;
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

// Rows changed after the requested version, deletions included, and the table's version at that moment.
struct Changes {
    std::vector<Row> rows;
    Version tableVersion { 0 };
};

// A VM as the platform's lagging list shows it.
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

// The platform as the rest of the system sees it. Calls block the calling duty thread, for at most the
// client's timeout. A Failure with Outcome::MayHaveRun means the write may have taken effect although the
// reply was lost; Reason::Conflict (always NotRun) means that a condition did not hold.
template <typename P>
concept PlatformClient = requires(P& platform, const Transaction& transaction, const std::string& text,
    Version since, const VmId& vm, const OperationId& operation) {
    // The version that all rows written by the transaction now have.
    {
        platform.commit(transaction)
    } -> std::same_as<Result<Version>>;
    // Rows whose key starts with the prefix and whose version is greater than `since`.
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
    // Asks for a reboot; the same operation asked twice reboots once.
    {
        platform.rebootVm(vm, operation)
    } -> std::same_as<Result<void>>;
};

} // namespace fulmar
