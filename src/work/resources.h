#pragma once

#include <algorithm>
#include <cstdint>

namespace fulmar::work {

// Amounts of resources, as offered by a worker or used by a task. Accelerators are whole numbers.
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

// Rounding errors accumulate in sums of processors; amounts that differ by less than this are equal.
inline constexpr double resourceTolerance = 1e-6;

[[nodiscard]] inline bool fits(const Resources& need, const Resources& available)
{
    return need.processors <= available.processors + resourceTolerance
        && need.memoryMb <= available.memoryMb + resourceTolerance
        && need.accelerators <= available.accelerators + resourceTolerance;
}

// The largest share of any resource in `whole` that `part` takes, as in dominant resource fairness. If `part`
// needs a resource that `whole` lacks, the share is `missingShare`.
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
