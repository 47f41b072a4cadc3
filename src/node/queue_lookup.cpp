#include "node/queue_lookup.h"

#include <algorithm>
#include <cctype>

namespace fulmar::node {

namespace {

constexpr std::size_t jobIdLength = 16;

bool isJobId(std::string_view text)
{
    return text.size() == jobIdLength
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isxdigit(c); });
}

} // namespace

QueueLookup lookUpQueue(
    const jobs::FleetConfig& config, std::string_view host, std::string_view path, const ConfigAge& configAge)
{
    const auto* queue = config.queueFor(host, path);
    auto rest = queue ? path.substr(queue->pathPrefix.size()) : std::string_view();
    if (queue && (rest.empty() || isJobId(rest)))
        return { QueueVerdict::Found, queue, rest };
    // A newer configuration may also have a queue whose prefix extends that of a known one.
    return { configAge.mayDecide() ? QueueVerdict::Denied : QueueVerdict::Unconfirmed, nullptr, {} };
}

} // namespace fulmar::node
