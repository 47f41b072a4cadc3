#pragma once

#include "core/event.h"
#include "core/ring.h"
#include "fleet/entry_row.h"
#include "platform/table.h"
#include "serve/claim_batch.h"

#include <fmt/format.h>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace fulmar {

struct StoreDutySettings {
    // Delay between attempts to register.
    std::chrono::milliseconds registrationRetry { 500 };
    // Capacity of the queue of claims; further claims are rejected.
    std::size_t maxClaims { 8'192 };
};

// Registers an entry in the platform's table and claims idempotency keys there with group commit. Has its own
// thread because calls to the table block.
template <PlatformClient P, Clock C> class StoreDuty {
public:
    struct Hooks {
        // Called on the duty's thread.
        std::function<void()> onRegistered;
        std::function<void(std::vector<serve::ClaimDone>)> onClaims;
    };

    StoreDuty(P platform, EntryRecord record, StoreDutySettings settings, EventLog& events, const C& clock,
        Hooks hooks)
        : m_platform(std::move(platform))
        , m_record(std::move(record))
        , m_settings(settings)
        , m_events(events)
        , m_clock(clock)
        , m_hooks(std::move(hooks))
        , m_claims(settings.maxClaims)
    {
    }

    StoreDuty(const StoreDuty&) = delete;
    StoreDuty& operator=(const StoreDuty&) = delete;
    ~StoreDuty() { stop(); }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        m_claims.close();
        if (m_thread.joinable())
            m_thread.join();
    }

    // Returns false, without queueing the claim, if the queue is full.
    [[nodiscard]] bool tryClaim(serve::ClaimKey claim) { return m_claims.tryPush(std::move(claim)); }

    // Registers if that is due, waits up to `wait` for a claim, and commits all queued claims.
    void step(std::chrono::milliseconds wait)
    {
        if (!m_isRegistered && m_clock.now() >= m_nextRegistration)
            tryRegister();
        if (auto claim = m_claims.popFor(wait))
            m_batch.add(*claim);
        while (auto more = m_claims.tryPop())
            m_batch.add(*more);
        commitClaims();
    }

private:
    static constexpr std::chrono::milliseconds idleWait { 50 };

    void run()
    {
        while (!m_claims.closed())
            step(idleWait);
    }

    OperationId nextOperation()
    {
        return OperationId(
            fmt::format("{}.{}.{}", m_record.process.value(), m_record.incarnation, ++m_lastOperation));
    }

    // If the reply to the commit is lost, the next attempt reads the row and finds this incarnation in it.
    void tryRegister()
    {
        m_nextRegistration = m_clock.now() + m_settings.registrationRetry;
        auto key = entryKey(m_record.process);
        auto changes = m_platform.read(key, 0);
        if (!changes)
            return;
        Version version = 0;
        for (const auto& row : changes->rows) {
            if (row.key != key || row.deleted)
                continue;
            version = row.version;
            auto known = decode<EntryRecord>(row.value);
            if (known && known->incarnation == m_record.incarnation)
                return finishRegistration(version);
            if (known)
                m_record.replaces = known->incarnation;
        }
        Transaction transaction { nextOperation(), { { key, version } },
            { { key, encode(m_record), false } } };
        if (auto committed = m_platform.commit(transaction))
            finishRegistration(*committed);
    }

    void finishRegistration(Version version)
    {
        m_isRegistered = true;
        m_events.record(m_clock.wallNow(), "entry.registered", { { "version", std::to_string(version) } });
        m_hooks.onRegistered();
    }

    void commitClaims()
    {
        while (auto transaction = m_batch.next(nextOperation(), m_clock.wallNow())) {
            report(m_batch.onCommit(m_platform.commit(*transaction)));
            for (const auto& key : m_batch.rowsToRead())
                report(m_batch.onRead(key, m_platform.read(key, 0)));
        }
    }

    void report(std::vector<serve::ClaimDone> done)
    {
        if (!done.empty())
            m_hooks.onClaims(std::move(done));
    }

    P m_platform;
    EntryRecord m_record;
    const StoreDutySettings m_settings;
    EventLog& m_events;
    const C& m_clock;
    const Hooks m_hooks;
    BoundedRing<serve::ClaimKey> m_claims;
    serve::ClaimBatch m_batch;
    bool m_isRegistered { false };
    TimePoint m_nextRegistration {};
    std::uint64_t m_lastOperation { 0 };
    std::thread m_thread;
};

} // namespace fulmar
