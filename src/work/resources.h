#pragma once

#include <algorithm>
#include <cstdint>

namespace fulmar::work {

// An amount of what a worker offers and a task takes. Memory is in megabytes; accelerators are whole.
struct Resources {
    double processors { 0 };
    double memoryMb { 0 };
    double accelerators { 0 };

    bool operator==(const Resources&) const = default;

    Resources& operator+=(const Resources& other)
    {
        processors += other.processors;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources& operator-=(const Resources& other)
    {
        processors -= other.processors;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources left, const Resources& right) { return left += right; }
    friend Resources operator-(Resources left, const Resources& right) { return left -= right; }
    friend Resources operator*(Resources left, double factor)
    {
        return { left.processors * factor, left.memoryMb * factor, left.accelerators * factor };
    }
};

// Sums of processors drift by rounding; amounts closer than this are equal.
inline constexpr double resourceTolerance = 1e-6;

[[nodiscard]] inline bool fits(const Resources& need, const Resources& freeCapacity)
{
    return need.processors <= freeCapacity.processors + resourceTolerance
        && need.memoryMb <= freeCapacity.memoryMb + resourceTolerance
        && need.accelerators <= freeCapacity.accelerators + resourceTolerance;
}

// The largest share that `part` takes of any resource of `whole`. A resource that `whole` lacks counts as
// `missingShare` once any of it is taken.
[[nodiscard]] inline double dominantShare(const Resources& part, const Resources& whole)
{
    constexpr double missingShare = 1e6;
    auto share = [](double taken, double total) {
        if (taken <= resourceTolerance)
            return 0.0;
        return total > 0 ? taken / total : missingShare;
    };
    return std::max({ share(part.processors, whole.processors), share(part.memoryMb, whole.memoryMb),
        share(part.accelerators, whole.accelerators) });
}

} // namespace fulmar::work
