#include "serve/claim_batch.h"

#include "config/model.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace fulmar::serve {

namespace {

// A conflict costs one read per claim of the transaction, which cancels the gain of larger batches.
constexpr std::size_t maxClaimsPerTransaction = 32;
constexpr std::uint32_t maxTries = 3;

} // namespace

std::string claimRowKey(const std::string& key)
{
    auto hash = XXH3_128bits(key.data(), key.size());
    return fmt::format("{}{:016x}{:016x}", keys::requestKeyPrefix, hash.high64, hash.low64);
}

std::string encodeClaim(const KeyClaim& claim, WallTime claimed)
{
    return nlohmann::json {
        { "process", claim.grant.owner.process.value() }, { "incarnation", claim.grant.owner.incarnation },
        { "serial", claim.grant.serial }, { "fingerprint", claim.fingerprint },
        { "claimedMs", claimed.time_since_epoch().count() }
    }.dump();
}

std::optional<KeyClaim> decodeClaim(const std::string& rowValue)
{
    auto json = nlohmann::json::parse(rowValue, nullptr, false);
    auto isNumber
        = [&json](const char* name) { return json.contains(name) && json[name].is_number_unsigned(); };
    if (!json.is_object() || !json.contains("process") || !json["process"].is_string())
        return std::nullopt;
    if (!isNumber("incarnation") || !isNumber("serial") || !isNumber("fingerprint"))
        return std::nullopt;
    KeyOwner owner { ProcessId(json["process"].get<std::string>()),
        json["incarnation"].get<std::uint64_t>() };
    return KeyClaim { { std::move(owner), json["serial"].get<std::uint64_t>() },
        json["fingerprint"].get<std::uint64_t>() };
}

void ClaimBatch::add(const ClaimKey& claim) { m_pending.push_back({ claim, 0 }); }

std::optional<Transaction> ClaimBatch::next(const OperationId& operation, WallTime now)
{
    if (!m_inFlight.empty() || m_pending.empty())
        return std::nullopt;
    Transaction transaction { operation, {}, {} };
    std::deque<Pending> later;
    while (!m_pending.empty() && m_inFlight.size() < maxClaimsPerTransaction) {
        auto pending = std::move(m_pending.front());
        m_pending.pop_front();
        auto row = claimRowKey(pending.claim.key);
        // A transaction cannot claim the same row twice.
        if (m_inFlight.contains(row)) {
            later.push_back(std::move(pending));
            continue;
        }
        ++pending.tries;
        transaction.conditions.push_back({ row, 0 });
        transaction.writes.push_back({ row, encodeClaim(pending.claim.claim, now), false });
        m_inFlight.emplace(std::move(row), std::move(pending));
    }
    m_pending.insert(m_pending.begin(), later.begin(), later.end());
    return transaction;
}

std::vector<ClaimDone> ClaimBatch::onCommit(const Result<Version>& result)
{
    assert(!m_inFlight.empty() && !m_reading);
    std::vector<ClaimDone> done;
    bool conflict = !result && result.error().reason == Reason::Conflict;
    m_reading = conflict || (!result && result.error().outcome == Outcome::MayHaveRun);
    if (m_reading)
        return done;
    for (const auto& [row, pending] : m_inFlight)
        done.push_back(
            { pending.claim.request, result ? ClaimResult(ClaimWon {}) : ClaimResult(ClaimUnknown {}) });
    m_inFlight.clear();
    return done;
}

std::vector<std::string> ClaimBatch::rowsToRead() const
{
    std::vector<std::string> rows;
    if (m_reading)
        for (const auto& [row, pending] : m_inFlight)
            rows.push_back(row);
    return rows;
}

std::vector<ClaimDone> ClaimBatch::onRead(const std::string& rowKey, const Result<Changes>& result)
{
    assert(m_reading);
    auto node = m_inFlight.extract(rowKey);
    assert(node);
    m_reading = !m_inFlight.empty();
    auto& pending = node.mapped();
    auto request = pending.claim.request;
    if (!result)
        return { { request, ClaimUnknown {} } };
    auto isRow = [&rowKey](const Row& row) { return row.key == rowKey && !row.deleted; };
    auto row = std::find_if(result->rows.begin(), result->rows.end(), isRow);
    if (row == result->rows.end()) {
        // The lost transaction may still commit. Retrying with the same grant is safe in either case.
        if (pending.tries >= maxTries)
            return { { request, ClaimUnknown {} } };
        m_pending.push_front(std::move(pending));
        return {};
    }
    auto claim = decodeClaim(row->value);
    if (!claim)
        return { { request, ClaimUnknown {} } };
    if (*claim == pending.claim.claim)
        return { { request, ClaimWon {} } };
    return { { request, ClaimHeld { *claim } } };
}

} // namespace fulmar::serve
