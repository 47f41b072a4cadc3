#pragma once

#include <string>
#include <vector>

namespace fulmar::bench {

// A figure measured at one size.
struct SlopePoint {
    double size { 0 };
    double value { 0 };
};

// A line through measured points: value = fixed + perUnit * size.
struct LineFit {
    double fixed { 0 };
    double perUnit { 0 };
    // Largest distance of a point from the line, as a share of the point's value.
    double worstError { 0 };
};

// A cost that grows with a size.
struct Slope {
    std::string name;
    // What the size counts, and the unit of the value.
    std::string sizeUnit;
    std::string unit;
    std::vector<SlopePoint> points;
    // Exact figures are the same in every run.
    bool isExact { false };
};

// Least squares; needs at least two points of different size.
[[nodiscard]] LineFit fitLine(const std::vector<SlopePoint>&);

} // namespace fulmar::bench
