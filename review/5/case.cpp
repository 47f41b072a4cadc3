// Machines join the pool, and the operator at once asks for their upkeep.

#include "../standin/world.h"

using namespace review;

namespace {

constexpr std::size_t rounds = 3;
constexpr Millis settleTime { 3'000 };
constexpr Millis waveTime { 20'000 };
constexpr Millis pause { 100 };

Verdict play(World& world)
{
    for (int i = 0; i < 8; ++i)
        world.addRunner(16'000);
    std::vector<std::string> machines;
    auto addMachine = [&] { machines.push_back(world.addRunner(16'000).machine()); };
    if (!world.hasTrouble())
        for (std::size_t round = 0; round < rounds; ++round)
            addMachine();
    if (!world.start())
        return Verdict::NotRun;
    std::this_thread::sleep_for(settleTime);
    auto isBroken = false;
    for (std::size_t round = 0; round < rounds; ++round) {
        if (world.hasTrouble())
            addMachine();
        auto wave = std::to_string(round + 1);
        const auto& machine = machines[round];
        world.store().put("op", "wave/" + wave,
            { { "wave", round + 1 }, { "machines", { machine } }, { "duration-s", waveTime.count() / 1'000 },
                { "max-count", 1 } });
        world.record().write("wave " + wave + " asks for the upkeep of " + machine);
        for (auto until = Clock::now() + waveTime; Clock::now() < until;) {
            std::this_thread::sleep_for(pause);
            auto status = world.store().read("status", "wave/" + wave);
            if (!status.is_object() || status.value("state", "") != "completed")
                continue;
            auto hasBegun = world.fleet().maintained().contains(machine);
            world.record().write("wave " + wave + " is said to be completed; upkeep of " + machine
                + (hasBegun ? " has begun" : " HAS NOT BEGUN"));
            isBroken |= !hasBegun;
            break;
        }
    }
    // A later upkeep would not heal the false report; the record shows whether it came.
    std::this_thread::sleep_for(settleTime);
    for (const auto& machine : machines)
        if (!world.fleet().maintained().contains(machine))
            world.record().write("at the end, " + machine + " has had no upkeep");
    return isBroken ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main() { return runCase(3, {}, play); }
