#include "bench/fleet_bench.h"
#include "bench/serve_bench.h"
#include "bench/slopes.h"
#include "bench/work_bench.h"

#include <algorithm>
#include <fmt/format.h>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>
#include <xxhash.h>

using namespace fulmar;

namespace {

struct Part {
    const char* name;
    const char* description;
    void (*run)(std::ostream&);
};

constexpr Part parts[] = {
    { "serve", "serving decisions under load and faults", bench::runServeBench },
    { "fleet", "waves, buffer cost and moves", bench::runFleetBench },
    { "work", "long-running tasks: a naive scheduler and the current one", bench::runWorkBench },
    { "slopes", "costs by fleet size, for docs/CAPACITY.md", bench::runSlopes },
};

// Selects the lines of a part's output that change only if the behaviour of the tested code changes.
std::string signatureLines(const std::string& output)
{
    std::istringstream lines(output);
    std::string selected;
    for (std::string line; std::getline(lines, line);)
        if (line.find("signature") != std::string::npos)
            selected += line + '\n';
    return selected;
}

int usage()
{
    std::cerr << "usage: fulmar-bench [PART...]\n";
    for (const auto& part : parts)
        std::cerr << fmt::format("  {:<8} {}\n", part.name, part.description);
    return 2;
}

bool isKnown(std::string_view name)
{
    for (const auto& part : parts)
        if (name == part.name)
            return true;
    return false;
}

} // namespace

// Runs all parts or the named ones and prints a hash of their signature lines.
int main(int argc, char** argv)
{
    std::vector<std::string_view> wanted(argv + 1, argv + argc);
    for (auto name : wanted)
        if (!isKnown(name))
            return usage();
    std::string signatures;
    for (const auto& part : parts) {
        if (!wanted.empty() && std::find(wanted.begin(), wanted.end(), part.name) == wanted.end())
            continue;
        std::ostringstream output;
        part.run(output);
        std::cout << fmt::format("== {}: {}\n{}\n", part.name, part.description, output.str()) << std::flush;
        signatures += signatureLines(output.str());
    }
    std::cout << fmt::format("signature={:016x}\n", XXH3_64bits(signatures.data(), signatures.size()));
    return 0;
}
