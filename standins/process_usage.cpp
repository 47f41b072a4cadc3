#include "process_usage.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace fulmar::standin {

namespace {

// Fields of /proc/<pid>/stat between the end of the name and utime.
constexpr int fieldsBeforeUserTime = 11;

std::chrono::milliseconds processorTimeOf(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/stat", pid));
    std::string line;
    if (!std::getline(file, line))
        throw std::runtime_error(fmt::format("no process {}", pid));
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 0; field < fieldsBeforeUserTime; ++field)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

std::uint64_t residentKbOf(int pid)
{
    std::ifstream file(fmt::format("/proc/{}/statm", pid));
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

} // namespace

ProcessUsage usageOf(int pid) { return { processorTimeOf(pid), residentKbOf(pid) }; }

} // namespace fulmar::standin
