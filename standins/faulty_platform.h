#pragma once

#include "memory_table.h"
#include "platform/table.h"

#include <deque>
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
    std::size_t commits { 0 };
    std::size_t reads { 0 };

    // Lets the commits that were kept back arrive now.
    void deliverLate()
    {
        for (const auto& transaction : std::exchange(late, {}))
            (void)table.commit(transaction);
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

    // The faults of the next calls, in order; calls beyond them have none.
    void addFault(CallFault fault) { m_faults.push_back(fault); }
    void clearFaults() { m_faults.clear(); }

    Result<Version> commit(const Transaction& transaction)
    {
        switch (nextFault()) {
        case CallFault::None:
            ++m_state.commits;
            return m_state.table.commit(transaction);
        case CallFault::Refused:
            return notRun(Reason::StoreUnavailable, "refused");
        case CallFault::LostReply:
            ++m_state.commits;
            (void)m_state.table.commit(transaction);
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
    bool m_down { false };
};

static_assert(PlatformClient<FaultyPlatform>);

} // namespace fulmar::standin
