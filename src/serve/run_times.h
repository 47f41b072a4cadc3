#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::serve {

// Calls of one service whose method and path have the same shape; an index into RunTimes.
using ClassId = std::uint32_t;

// Learns how long calls run. Paths are grouped by their first segments with numbers masked, so that a route
// sheet's number does not make a class of its own.
class RunTimes {
public:
    // The class of a call. When too many shapes have been seen, new ones share one class per service.
    [[nodiscard]] ClassId classOf(const ServiceId&, const std::string& method, const std::string& path);

    void record(ClassId, Duration run);

    // Mean run time; a short guess before the first call has ended.
    [[nodiscard]] Duration expected(ClassId) const;

    // Run time that most of its calls stay below.
    [[nodiscard]] Duration highEstimate(ClassId) const;

    // The class holds its slot many times as long as the fastest class that its service uses notably.
    [[nodiscard]] bool isLong(ClassId) const;

private:
    struct Class {
        ServiceId service;
        double meanMicroseconds { 0 };
        // Mean distance of the run times from their mean.
        double deviationMicroseconds { 0 };
        std::uint32_t samples { 0 };
        // Share of the service's recent calls, in arbitrary units that decay.
        double recentCalls { 0 };
        bool isLong { false };
    };

    ClassId add(const std::string& name, const ServiceId&);
    void classifyLongCalls(const ServiceId&);

    std::unordered_map<std::string, ClassId> m_ids;
    std::vector<Class> m_classes;
    std::uint32_t m_callsSinceClassified { 0 };
};

} // namespace fulmar::serve
