#include "http_host.h"
#include "relay.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

namespace {

using fulmar::standin::HttpReply;
using fulmar::standin::HttpRequest;
using fulmar::standin::Relay;

using RelaysByGroup = std::multimap<std::string, Relay>;

// One relay described as "group=listen=to".
void addRelay(RelaysByGroup& relays, asio::io_context& context, const std::string& text)
{
    const auto first = text.find('=');
    const auto second = text.find('=', first + 1);
    if (first == std::string::npos || second == std::string::npos)
        throw std::invalid_argument("not group=listen=to: " + text);
    const auto group = text.substr(0, first);
    auto relay = relays.emplace(
        group, Relay(context, text.substr(first + 1, second - first - 1), text.substr(second + 1)));
    fmt::print("relay={} listening=127.0.0.1:{}\n", group, relay->second.port());
}

// POST /cut?group=NAME and POST /restore?group=NAME.
HttpReply control(RelaysByGroup& relays, const HttpRequest& request)
{
    HttpReply reply;
    auto group = request.query.find("group");
    if (group == request.query.end() || (request.path != "/cut" && request.path != "/restore")) {
        reply.status = 404;
        return reply;
    }
    auto [begin, end] = relays.equal_range(group->second);
    for (auto relay = begin; relay != end; ++relay)
        if (request.path == "/cut")
            relay->second.cut();
        else
            relay->second.restore();
    reply.body = fmt::format("relays={}\n", std::distance(begin, end));
    return reply;
}

} // namespace

// TCP relays between stand-ins and daemons, in groups that can be cut and restored.
int main(int argc, char** argv)
{
    cxxopts::Options options("standin_relay", "TCP relays that can be cut.");
    options.add_options()("relay", "group=host:port=host:port; listens on the first, connects to the second",
        cxxopts::value<std::vector<std::string>>())("control", "host:port of the control interface",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    try {
        const auto arguments = options.parse(argc, argv);
        fulmar::standin::HttpHost host;
        host.stopOnSignals();
        RelaysByGroup relays;
        for (const auto& text : arguments["relay"].as<std::vector<std::string>>())
            addRelay(relays, host.context(), text);
        const auto port = host.listen(arguments["control"].as<std::string>(),
            [&](const HttpRequest& request) { return control(relays, request); });
        fmt::print("control=127.0.0.1:{}\n", port);
        std::fflush(stdout);
        host.run();
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin_relay: {}\n", error.what());
        return 1;
    }
    return 0;
}
