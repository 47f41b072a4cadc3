#include "bench/meter.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <malloc.h>

namespace fulmar::bench {

namespace {

double threadNanoseconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return double(time.tv_sec) * 1e9 + double(time.tv_nsec);
}

} // namespace

double processorNanoseconds(const std::function<void()>& work, int runs)
{
    double least = std::numeric_limits<double>::max();
    for (int i = 0; i < runs; ++i) {
        auto begin = threadNanoseconds();
        work();
        least = std::min(least, threadNanoseconds() - begin);
    }
    return least;
}

double heapBytes()
{
    auto info = mallinfo2();
    return double(info.uordblks) + double(info.hblkhd);
}

} // namespace fulmar::bench
