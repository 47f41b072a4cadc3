#pragma once

#include "platform/table.h"
#include "serve/call.h"

#include <deque>
#include <map>

namespace fulmar::serve {

// Row of the platform's table that holds the claim on a scoped key.
[[nodiscard]] std::string claimRowKey(const std::string& key);

// `claimed` only serves the deletion of old claims.
[[nodiscard]] std::string encodeClaim(const KeyClaim&, WallTime claimed);
[[nodiscard]] std::optional<KeyClaim> decodeClaim(const std::string& rowValue);

// Result of one ClaimKey, for Dispatcher::onClaim.
struct ClaimDone {
    RequestId request { 0 };
    ClaimResult result;
};

// Batches the claims of many requests into few transactions. One transaction is in flight at a time; claims
// that arrive meanwhile share the next one. After a conflict or a lost reply the rows are read back: a row
// with our grant is our own claim, whichever transaction wrote it.
//
// Usage: call add(); while next() returns a transaction, commit it and report with onCommit(); then read each
// of rowsToRead() and report with onRead(). Not thread-safe.
class ClaimBatch {
public:
    void add(const ClaimKey&);

    // The transaction to commit now; empty if no claim is pending or the previous transaction is not resolved
    // yet.
    [[nodiscard]] std::optional<Transaction> next(const OperationId&, WallTime now);
    [[nodiscard]] std::vector<ClaimDone> onCommit(const Result<Version>&);

    // Rows to read, each with its whole key as the prefix and from version 0, and to report with onRead()
    // once each. They should be read concurrently, because no claim is written until all are reported.
    [[nodiscard]] std::vector<std::string> rowsToRead() const;
    [[nodiscard]] std::vector<ClaimDone> onRead(const std::string& rowKey, const Result<Changes>&);

    [[nodiscard]] bool isIdle() const { return m_pending.empty() && m_inFlight.empty(); }

private:
    struct Pending {
        ClaimKey claim;
        std::uint32_t tries { 0 };
    };

    std::deque<Pending> m_pending;
    // The claims of the transaction in flight, by row.
    std::map<std::string, Pending> m_inFlight;
    bool m_reading { false };
};

} // namespace fulmar::serve
