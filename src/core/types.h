#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace fulmar {

// A string identifier whose type keeps it apart from identifiers of other kinds.
template <typename Tag> class Id {
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string& value() const { return m_value; }
    [[nodiscard]] bool empty() const { return m_value.empty(); }

    auto operator<=>(const Id&) const = default;
    friend std::ostream& operator<<(std::ostream& out, const Id& id) { return out << id.m_value; }

private:
    std::string m_value;
};

using VmId = Id<struct VmTag>;
using PoolId = Id<struct PoolTag>;
using ServiceId = Id<struct ServiceTag>;
using ZoneId = Id<struct ZoneTag>;
using RegionId = Id<struct RegionTag>;
using RackId = Id<struct RackTag>;
using TeamId = Id<struct TeamTag>;
using TaskId = Id<struct TaskTag>;
using JobId = Id<struct JobTag>;
using WaveId = Id<struct WaveTag>;
using ProcessId = Id<struct ProcessTag>;
using OperationId = Id<struct OperationTag>;

// Version of a row or of a whole table; increases with every committed transaction. 0 means "absent".
using Version = std::uint64_t;

// Fencing token of a lease: increases each time the lease changes holders.
using Epoch = std::uint64_t;

} // namespace fulmar

template <typename Tag> struct std::hash<fulmar::Id<Tag>> {
    std::size_t operator()(const fulmar::Id<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
