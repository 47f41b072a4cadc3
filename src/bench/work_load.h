#pragma once

#include "bench/work_fleet.h"
#include "config/model.h"
#include "work/task.h"

#include <cstdint>
#include <vector>

namespace fulmar::bench::longwork {

using namespace fulmar::work;

struct WorkLoadSize {
    std::size_t workers { 0 };
    std::size_t pools { 0 };
    std::size_t teams { 0 };
    Duration time {};
};

// A submission and the truth about it.
struct Arrival {
    Duration at {};
    TaskSpec spec;
    TrueTask truth;
};

// A fleet and what is asked of it, from a seed: more work than fits, declared sizes wrong by a factor of up
// to 4 either way, 2% of the workers failing everything, 1% of the jobs unable to run, one job in 40
// urgent.
struct WorkLoad {
    std::vector<WorkerReport> workers;
    std::vector<bool> failsEverything;
    std::vector<TeamConfig> teams;
    // In order of time.
    std::vector<Arrival> arrivals;
    Resources capacity;
};

[[nodiscard]] WorkLoad makeWorkLoad(const WorkLoadSize&, std::uint64_t seed);

} // namespace fulmar::bench::longwork
