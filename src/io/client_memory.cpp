#include "io/client_memory.h"

#include <algorithm>
#include <tuple>

namespace fulmar {

namespace {

// Room that is made at once, as a part of the budget: the connections are looked at once for many reads.
constexpr std::size_t spareDivisor = 16;
// A request that has just begun has some cost, so that among equally old ones the largest goes first.
constexpr std::chrono::milliseconds minAge { 1 };

} // namespace

std::optional<ClientMemory::ClientId> ClientMemory::open(TimePoint now, std::vector<ClientId>& closed)
{
    auto id = ++m_last;
    m_clients.emplace(id, Client { 0, State::Idle, now });
    m_held += bytesPerConnection;
    auto decision = hold(id, 0, State::Idle, now);
    closed = std::move(decision.closed);
    if (decision.isAdmitted)
        return id;
    close(id);
    return std::nullopt;
}

void ClientMemory::close(ClientId id)
{
    if (auto found = m_clients.find(id); found != m_clients.end()) {
        m_held -= found->second.bytes + bytesPerConnection;
        m_clients.erase(found);
    }
}

void ClientMemory::set(Client& client, std::size_t bytes, State state, TimePoint now)
{
    m_held = m_held - client.bytes + bytes;
    client.bytes = bytes;
    if (client.state != state)
        client.since = now;
    client.state = state;
}

ClientMemory::Decision ClientMemory::hold(ClientId id, std::size_t bytes, State state, TimePoint now)
{
    auto found = m_clients.find(id);
    if (found == m_clients.end())
        return { false, {} };
    auto before = found->second;
    set(found->second, bytes, state, now);
    if (m_held <= m_maxBytes)
        return {};
    // Less than before is always taken in.
    if (bytes <= before.bytes && state != State::Idle)
        return {};
    auto decision = makeRoom(id, m_maxBytes - m_maxBytes / spareDivisor, now);
    if (!decision.isAdmitted)
        set(found->second, before.bytes, before.state, before.since);
    return decision;
}

void ClientMemory::update(ClientId id, std::size_t bytes, State state, TimePoint now)
{
    if (auto found = m_clients.find(id); found != m_clients.end())
        set(found->second, bytes, state, now);
}

ClientMemory::Decision ClientMemory::makeRoom(ClientId asker, std::size_t wanted, TimePoint now)
{
    struct Candidate {
        double cost;
        Duration age;
        ClientId id;
    };
    std::vector<Candidate> candidates;
    for (const auto& [id, client] : m_clients) {
        if (client.state == State::Handled)
            continue;
        auto age = std::max<Duration>(now - client.since, minAge);
        // Idle connections hold only themselves: they go last, the longest idle first.
        auto cost = client.state == State::Idle ? 0 : double(client.bytes) * double(age.count());
        candidates.push_back({ cost, age, id });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return std::tie(left.cost, left.age, left.id) > std::tie(right.cost, right.age, right.id);
    });
    Decision decision;
    for (const auto& candidate : candidates) {
        if (m_held <= wanted)
            break;
        if (candidate.id == asker) {
            // Within the budget it stays; only the spare room is missing.
            decision.isAdmitted = m_held <= m_maxBytes;
            return decision;
        }
        decision.closed.push_back(candidate.id);
        close(candidate.id);
    }
    decision.isAdmitted = m_held <= m_maxBytes;
    return decision;
}

} // namespace fulmar
