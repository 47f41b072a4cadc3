#include "http_host.h"
#include "process_zones.h"
#include "relay.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <set>

namespace {

using namespace fulmar::standin;
using Endpoint = asio::ip::tcp::endpoint;

// The relays between zones. While a zone is cut off, only connections inside it and between the others pass.
class ZoneLinks {
public:
    explicit ZoneLinks(asio::io_context& context)
        : m_context(context)
    {
    }

    // "zone=listen=to": the relay in front of an address in that zone.
    void add(const std::string& text)
    {
        const auto first = text.find('=');
        const auto second = text.find('=', first + 1);
        if (first == std::string::npos || second == std::string::npos)
            throw std::invalid_argument("not zone=listen=to: " + text);
        const auto zone = text.substr(0, first);
        m_relays.emplace_back(m_context, text.substr(first + 1, second - first - 1), text.substr(second + 1),
            Relay::Rules {
                [this, zone](const Endpoint& caller, const Endpoint& called) {
                    return m_cut.empty() || admits(m_processes.callerOf(caller, called).zone, zone);
                },
                [this, to = text.substr(second + 1)](const Endpoint& caller, const Endpoint& called) {
                    auto& count = m_bytes[{ m_processes.callerOf(caller, called).pid, to }];
                    if (!count)
                        count = std::make_shared<std::uint64_t>(0);
                    return count;
                },
            });
        fmt::print("relay={} listening=127.0.0.1:{}\n", zone, m_relays.back().port());
    }

    // GET /bytes: a line "pid=N to=host:port bytes=N" for each caller and destination.
    [[nodiscard]] HttpReply listBytes() const
    {
        HttpReply reply;
        for (const auto& [link, count] : m_bytes)
            reply.body += fmt::format("pid={} to={} bytes={}\n", link.first, link.second, *count);
        return reply;
    }

    // POST /process?pid=N&zone=Z, POST /cut?zone=Z, POST /restore?zone=Z.
    HttpReply control(const HttpRequest& request)
    {
        if (request.path == "/bytes")
            return listBytes();
        const auto& zone = request.query.at("zone");
        if (request.path == "/process")
            m_processes.add(std::stoi(request.query.at("pid")), zone);
        else if (request.path == "/cut")
            m_cut.insert(zone);
        else if (request.path == "/restore")
            m_cut.erase(zone);
        else
            throw std::invalid_argument("no such path: " + request.path);
        for (auto& relay : m_relays)
            relay.applyRules();
        return {};
    }

private:
    [[nodiscard]] bool admits(const std::string& from, const std::string& to) const
    {
        return from == to || !(m_cut.contains(from) || m_cut.contains(to));
    }

    asio::io_context& m_context;
    ProcessZones m_processes;
    std::set<std::string> m_cut;
    std::map<std::pair<int, std::string>, ByteCount> m_bytes;
    std::vector<Relay> m_relays;
};

} // namespace

// TCP relays between stand-ins and daemons, by which a zone can be cut off.
int main(int argc, char** argv)
{
    cxxopts::Options options("standin_relay", "TCP relays that can be cut by zone.");
    options.add_options()("relay", "zone=host:port=host:port; listens on the first, connects to the second",
        cxxopts::value<std::vector<std::string>>())("control", "host:port of the control interface",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    try {
        const auto arguments = options.parse(argc, argv);
        HttpHost host;
        host.stopOnSignals();
        ZoneLinks links(host.context());
        for (const auto& text : arguments["relay"].as<std::vector<std::string>>())
            links.add(text);
        const auto port = host.listen(arguments["control"].as<std::string>(),
            [&](const HttpRequest& request) { return links.control(request); });
        fmt::print("control=127.0.0.1:{}\n", port);
        std::fflush(stdout);
        host.run();
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin_relay: {}\n", error.what());
        return 1;
    }
    return 0;
}
