#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fulmar::serve {

// Index of a class in RunTimes: calls of one service with the same method and path shape.
using ClassId = std::uint32_t;

// Estimates the run times of call classes. Paths are grouped by their first segments with numbers masked, so
// that the number of a route sheet does not create a class of its own.
class RunTimes {
public:
    // The class of a call. Once the maximum number of classes is reached, new shapes share one class per
    // service.
    [[nodiscard]] ClassId classOf(const ServiceId&, const std::string& method, const std::string& path);

    void record(ClassId, Duration run);

    // Mean run time; a short default before the first call has ended.
    [[nodiscard]] Duration expected(ClassId) const;

    // Run time that most calls of the class stay below.
    [[nodiscard]] Duration highEstimate(ClassId) const;

    // The mean run time of the class is many times that of the fastest class in regular use.
    [[nodiscard]] bool isLong(ClassId) const;

private:
    struct Class {
        ServiceId service;
        double meanMicroseconds { 0 };
        // Mean absolute deviation of the run times from their mean.
        double deviationMicroseconds { 0 };
        std::uint32_t samples { 0 };
        // Number of recent calls, exponentially decayed.
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
