#pragma once

#include "config/replica.h"
#include "memory_table.h"
#include "operate/operator_service.h"

#include <string>

namespace fulmar::operate::test {

// Two pools and ten VMs in a stand-in table, and a replica of it.
struct SmallFleet {
    standin::MemoryTable table;
    ConfigReplica replica;
    std::map<std::string, Row> commands;
    WallTime now { std::chrono::seconds(1'000'000) };

    SmallFleet()
    {
        Transaction transaction { OperationId("setup"), {}, {} };
        for (const char* name : { "plans", "spare" }) {
            PoolConfig pool { PoolId(name), 0.2, 0.2, 0.2, std::string(name) == "spare" };
            transaction.writes.push_back({ keys::poolPrefix + pool.pool.value(), encode(pool) });
        }
        for (int i = 1; i <= 10; ++i) {
            VmRecord vm { VmId("v" + std::to_string(i)), PoolId(i <= 7 ? "plans" : "spare"), VmState::Serving,
                "127.0.0.1:" + std::to_string(9000 + i), RegionId("north"), ZoneId(i % 2 ? "a" : "b"),
                RackId("r" + std::to_string(i % 4)), 1, {}, now - std::chrono::minutes(i),
                now - std::chrono::hours(i) };
            if (i == 3) {
                vm.state = VmState::Leaving;
                vm.cause = "command c0";
            }
            transaction.writes.push_back({ keys::vmPrefix + vm.vm.value(), encode(vm) });
        }
        Command drain { DrainVm { VmId("v3") }, false, {} };
        CommandRow row { OperationId("c0"), toText(drain), "alice", 0, fleet::CommandState::Running, {},
            now - std::chrono::minutes(3) };
        transaction.writes.push_back({ fleet::commandKey(row.id), encodeCommand(drain, row) });
        BOOST_REQUIRE(table.commit(transaction).has_value());
        refresh();
    }

    void refresh()
    {
        replica.apply(table.read(keys::configPrefix, replica.version()));
        commands.clear();
        for (const char* prefix : { keys::commandPrefix, orderPrefix })
            for (auto& row : table.read(prefix, 0).rows)
                commands[row.key] = row;
    }

    [[nodiscard]] OperatorView view() const
    {
        OperatorView view { replica.rows(), commands };
        view.version = replica.version();
        view.age = std::chrono::milliseconds(150);
        return view;
    }

    [[nodiscard]] Answer ask(const std::string& text) const
    {
        return std::get<Answer>(answerStatement({ text, {}, false }, view(), now));
    }

    template <typename Platform>
    Answer order(Platform& platform, const std::string& text, const std::string& id, const std::string& who,
        std::optional<Version> basedOn = std::nullopt)
    {
        CommandOrigin origin { OperationId(id), who, basedOn };
        auto step = answerStatement({ text, origin, false }, view(), now);
        if (auto* answer = std::get_if<Answer>(&step))
            return *answer;
        return orderCommand(platform, std::get<Command>(step), origin, view(), now);
    }
};

// The stand-in table behind the calls of a platform client, with faults that a test switches on.
struct FaultyPlatform {
    standin::MemoryTable& table;
    bool isOut { false };
    // The next commits take effect, but their replies are lost.
    int lostReplies { 0 };
    bool ignoresConditions { false };
    // Runs once, just before the next commit.
    std::function<void()> beforeCommit {};

    Result<Version> commit(Transaction transaction)
    {
        if (isOut)
            return notRun(Reason::StoreUnavailable, "connection refused");
        if (auto hook = std::exchange(beforeCommit, nullptr))
            hook();
        if (ignoresConditions)
            transaction.conditions.clear();
        auto version = table.commit(transaction);
        if (!version || lostReplies == 0)
            return version;
        --lostReplies;
        return mayHaveRun(Reason::StoreUnavailable, "reply lost");
    }
    [[nodiscard]] Result<Changes> read(const std::string& prefix, Version since) const
    {
        if (isOut)
            return notRun(Reason::StoreUnavailable, "connection refused");
        return table.read(prefix, since);
    }

    // The operators' duty uses nothing else of the platform.
    static Result<void> putObject(const std::string&, const std::string&)
    {
        return notRun(Reason::Internal, "unused");
    }
    static Result<std::string> getObject(const std::string&) { return notRun(Reason::Internal, "unused"); }
    static Result<std::vector<ListedVm>> listVms() { return notRun(Reason::Internal, "unused"); }
    static Result<void> rebootVm(const VmId&, const OperationId&)
    {
        return notRun(Reason::Internal, "unused");
    }
};

} // namespace fulmar::operate::test
