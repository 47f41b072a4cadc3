#pragma once

#include "platform_state.h"

namespace fulmar::standin {

// A client of a PlatformState in the same process, for tests in virtual time. The switches apply: `down`
// refuses every call unexecuted, a lost reply is MayHaveRun after the effect.
template <Clock C> class MemoryPlatform {
public:
    MemoryPlatform(PlatformState& state, const C& clock)
        : m_state(state)
        , m_clock(clock)
    {
    }

    [[nodiscard]] Result<Version> commit(const Transaction& transaction)
    {
        return write([&] { return m_state.table.commit(transaction); });
    }
    [[nodiscard]] Result<Changes> read(const std::string& prefix, Version since)
    {
        return query([&]() -> Result<Changes> { return m_state.table.read(prefix, since); });
    }
    [[nodiscard]] Result<void> putObject(const std::string& name, const std::string& content)
    {
        return write([&]() -> Result<void> {
            m_state.objects[name] = content;
            return {};
        });
    }
    [[nodiscard]] Result<std::string> getObject(const std::string& name)
    {
        return query([&]() -> Result<std::string> {
            auto object = m_state.objects.find(name);
            if (object == m_state.objects.end())
                return notRun(Reason::NotFound, "no object " + name);
            return object->second;
        });
    }
    [[nodiscard]] Result<std::vector<ListedVm>> listVms()
    {
        return query([&]() -> Result<std::vector<ListedVm>> { return m_state.vms.list(m_clock.now()); });
    }
    [[nodiscard]] Result<void> rebootVm(const VmId& vm, const OperationId& operation)
    {
        return write([&] { return m_state.reboot(m_clock.now(), vm, operation); });
    }
    [[nodiscard]] Result<void> startTask(const VmId& worker, const TaskStart& start)
    {
        return write([&] { return m_state.workers.start(m_clock.now(), worker, start); });
    }
    [[nodiscard]] Result<void> renewLeases(
        const VmId& worker, const std::vector<TaskId>& tasks, std::chrono::milliseconds lease)
    {
        return write([&] { return m_state.workers.renew(m_clock.now(), worker, tasks, lease); });
    }
    [[nodiscard]] Result<void> orderTask(
        const VmId& worker, const TaskId& task, TaskOrder order, const OperationId& operation)
    {
        return write([&] { return m_state.workers.order(m_clock.now(), worker, task, order, operation); });
    }
    [[nodiscard]] Result<std::vector<WorkerReport>> listWorkers()
    {
        return query(
            [&]() -> Result<std::vector<WorkerReport>> { return m_state.workers.report(m_clock.now()); });
    }

private:
    template <typename Action> auto query(Action action) -> decltype(action())
    {
        if (m_state.switches.down)
            return refuse();
        ++m_state.counters.reads;
        return action();
    }

    template <typename Action> auto write(Action action) -> decltype(action())
    {
        if (m_state.switches.down)
            return refuse();
        ++m_state.counters.writes;
        auto result = action();
        if (!result && result.error().reason == Reason::Conflict)
            ++m_state.counters.conflicts;
        if (m_state.takeLostReply())
            return mayHaveRun(Reason::StoreUnavailable, "reply lost");
        return result;
    }

    tl::unexpected<Failure> refuse()
    {
        ++m_state.counters.refused;
        return notRun(Reason::StoreUnavailable, "platform is down");
    }

    PlatformState& m_state;
    const C& m_clock;
};

static_assert(PlatformClient<MemoryPlatform<ManualClock>> && WorkerClient<MemoryPlatform<ManualClock>>);

} // namespace fulmar::standin
