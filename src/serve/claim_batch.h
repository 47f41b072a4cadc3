#pragma once

#include "platform/table.h"
#include "serve/call.h"

#include <deque>
#include <map>

namespace fulmar::serve {

// Row of the platform's table that holds the claim on a scoped key.
[[nodiscard]] std::string claimRowKey(const std::string& key);

// `claimed` is for whoever deletes old claims; it decides nothing else.
[[nodiscard]] std::string encodeClaim(const KeyClaim&, WallTime claimed);
[[nodiscard]] std::optional<KeyClaim> decodeClaim(const std::string& rowValue);

// The end of one ClaimKey, for Dispatcher::onClaim.
struct ClaimDone {
    RequestId request { 0 };
    ClaimResult result;
};

// Writes the claims of many requests with few transactions. One transaction is under way at a time; claims
// that come meanwhile share the next. A conflict or a lost reply is cleared up by reading the rows back: a
// row with our grant is our own claim, whichever transaction wrote it.
//
// Use: add; then, while next() gives a transaction, commit it and report; after that read each of
// rowsToRead() and report. Not thread-safe.
class ClaimBatch {
public:
    void add(const ClaimKey&);

    // The transaction to commit now; empty if there is nothing to claim or the last one is not cleared up.
    [[nodiscard]] std::optional<Transaction> next(const OperationId&, WallTime now);
    [[nodiscard]] std::vector<ClaimDone> onCommit(const Result<Version>&);

    // Rows to read (prefix read of the whole key, since 0) and report with onRead, each once. Reading them at
    // the same time matters: nothing else is claimed meanwhile.
    [[nodiscard]] std::vector<std::string> rowsToRead() const;
    [[nodiscard]] std::vector<ClaimDone> onRead(const std::string& rowKey, const Result<Changes>&);

    [[nodiscard]] bool isIdle() const { return m_pending.empty() && m_inFlight.empty(); }

private:
    struct Pending {
        ClaimKey claim;
        std::uint32_t tries { 0 };
    };

    std::deque<Pending> m_pending;
    // The claims of the transaction under way, by row.
    std::map<std::string, Pending> m_inFlight;
    bool m_reading { false };
};

} // namespace fulmar::serve
