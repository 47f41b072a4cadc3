#pragma once

#include <cstdint>

namespace fulmar {

// Resources that a task needs or a runner has.
struct Resources {
    // Millicores.
    std::int64_t cpu { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };

    Resources& operator+=(const Resources& other)
    {
        cpu += other.cpu;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        cpu -= other.cpu;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }
    [[nodiscard]] bool fitsIn(const Resources& room) const
    {
        return cpu <= room.cpu && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
    bool operator==(const Resources&) const = default;
};

} // namespace fulmar
