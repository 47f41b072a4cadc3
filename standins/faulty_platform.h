#pragma once

#include "memory_table.h"
#include "platform/table.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::standin {

// What happens to one call of the platform.
enum class CallFault : std::uint8_t {
    None,
    // The call does not reach the platform; the caller knows that it did not.
    Refused,
    // The call does not reach the platform; the caller only sees a timeout.
    LostRequest,
    // The call takes effect; the caller only sees a timeout.
    LostReply,
    // A commit is kept back: the caller sees a timeout now, and the commit arrives with deliverLate().
    Late,
};

// What all clients of one platform share.
struct PlatformState {
    MemoryTable table;
    std::vector<ListedVm> list;
    std::map<std::string, std::string> objects;
    // Reboots carried out, by operation.
    std::map<OperationId, VmId> reboots;
    std::vector<Transaction> late;
    // Broken platforms, for showing that checks notice: conditions on these keys are not looked at.
    bool ignoreConditions { false };
    std::string ignoreConditionsOn;
    std::size_t commits { 0 };
    std::size_t reads { 0 };

    Result<Version> commit(Transaction transaction)
    {
        ++commits;
        std::erase_if(transaction.conditions, [this](const Condition& condition) {
            return ignoreConditions
                || (!ignoreConditionsOn.empty() && condition.key.starts_with(ignoreConditionsOn));
        });
        return table.commit(transaction);
    }

    // Lets the commits that were kept back arrive now.
    void deliverLate()
    {
        for (const auto& transaction : std::exchange(late, {}))
            (void)commit(transaction);
    }
};

// One process's client of a platform in memory, with faults. Not thread-safe.
class FaultyPlatform {
public:
    explicit FaultyPlatform(PlatformState& state)
        : m_state(state)
    {
    }

    // Cuts this client off, or connects it again.
    void setDown(bool down) { m_down = down; }

    // Does something just before the next commit that writes a row of this prefix arrives, as when the client
    // is paused there.
    void beforeNextCommit(std::string prefix, std::function<void()> action)
    {
        m_pausePrefix = std::move(prefix);
        m_beforeCommit = std::move(action);
    }

    // The faults of the next calls, in order; calls beyond them have none.
    void addFault(CallFault fault) { m_faults.push_back(fault); }
    void clearFaults() { m_faults.clear(); }

    Result<Version> commit(const Transaction& transaction)
    {
        if (m_beforeCommit && writesPrefix(transaction))
            std::exchange(m_beforeCommit, {})();
        switch (nextFault()) {
        case CallFault::None:
            return m_state.commit(transaction);
        case CallFault::Refused:
            return notRun(Reason::StoreUnavailable, "refused");
        case CallFault::LostReply:
            (void)m_state.commit(transaction);
            break;
        case CallFault::Late:
            m_state.late.push_back(transaction);
            break;
        case CallFault::LostRequest:
            break;
        }
        return mayHaveRun(Reason::StoreUnavailable, "no reply");
    }

    Result<Changes> read(const std::string& prefix, Version since)
    {
        if (nextFault() != CallFault::None)
            return notRun(Reason::StoreUnavailable, "no reply");
        ++m_state.reads;
        return m_state.table.read(prefix, since);
    }

    Result<void> putObject(const std::string& name, const std::string& data)
    {
        if (nextFault() != CallFault::None)
            return mayHaveRun(Reason::StoreUnavailable, "no reply");
        m_state.objects[name] = data;
        return {};
    }

    Result<std::string> getObject(const std::string& name)
    {
        if (nextFault() != CallFault::None)
            return notRun(Reason::StoreUnavailable, "no reply");
        auto position = m_state.objects.find(name);
        if (position == m_state.objects.end())
            return notRun(Reason::NotFound, name);
        return position->second;
    }

    Result<std::vector<ListedVm>> listVms()
    {
        if (nextFault() != CallFault::None)
            return notRun(Reason::StoreUnavailable, "no reply");
        return m_state.list;
    }

    Result<void> rebootVm(const VmId& vm, const OperationId& operation)
    {
        auto fault = nextFault();
        if (fault == CallFault::None || fault == CallFault::LostReply)
            m_state.reboots.emplace(operation, vm);
        if (fault == CallFault::None)
            return {};
        return mayHaveRun(Reason::StoreUnavailable, "no reply");
    }

private:
    [[nodiscard]] bool writesPrefix(const Transaction& transaction) const
    {
        return std::any_of(transaction.writes.begin(), transaction.writes.end(),
            [this](const Write& write) { return write.key.starts_with(m_pausePrefix); });
    }

    CallFault nextFault()
    {
        if (m_down)
            return CallFault::Refused;
        if (m_faults.empty())
            return CallFault::None;
        auto fault = m_faults.front();
        m_faults.pop_front();
        return fault;
    }

    PlatformState& m_state;
    std::deque<CallFault> m_faults;
    std::string m_pausePrefix;
    std::function<void()> m_beforeCommit;
    bool m_down { false };
};

static_assert(PlatformClient<FaultyPlatform>);

} // namespace fulmar::standin
