#include "bench/slope.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fulmar::bench {

LineFit fitLine(const std::vector<SlopePoint>& points)
{
    assert(points.size() >= 2);
    double count = double(points.size());
    double meanSize = 0;
    double meanValue = 0;
    for (const auto& [size, value] : points) {
        meanSize += size / count;
        meanValue += value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const auto& [size, value] : points) {
        covariance += (size - meanSize) * (value - meanValue);
        variance += (size - meanSize) * (size - meanSize);
    }
    assert(variance > 0);
    LineFit fit;
    fit.perUnit = covariance / variance;
    fit.fixed = meanValue - fit.perUnit * meanSize;
    for (const auto& [size, value] : points)
        if (value != 0)
            fit.worstError
                = std::max(fit.worstError, std::abs((fit.fixed + fit.perUnit * size - value) / value));
    return fit;
}

} // namespace fulmar::bench
