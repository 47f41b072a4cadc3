#include "io/client_memory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <rapidcheck.h>

using namespace fulmar;
using namespace std::chrono_literals;

namespace {

using State = ClientMemory::State;
constexpr std::size_t budget = 4 << 20;
constexpr std::size_t maxRequest = 256 * 1024;

struct Shadow {
    std::size_t bytes { 0 };
    State state { State::Idle };
};

} // namespace

BOOST_AUTO_TEST_SUITE(client_memory)

// Guards against a budget that is exceeded, a call that is cut off although it may have run, and idle
// ordinary connections that are closed while unfinished requests hold memory.
BOOST_AUTO_TEST_CASE(TheBudgetHoldsAndHandledCallsStay)
{
    auto isKept = rc::check([](unsigned seed) {
        std::mt19937 random(seed);
        ClientMemory memory(budget);
        std::map<ClientMemory::ClientId, Shadow> clients;
        TimePoint now {};
        auto drop = [&](const std::vector<ClientMemory::ClientId>& closed, ClientMemory::ClientId asker) {
            auto isIdleClosed = false;
            for (auto id : closed) {
                RC_ASSERT(id != asker);
                RC_ASSERT(clients.at(id).state != State::Handled);
                isIdleClosed |= clients.at(id).state == State::Idle;
                clients.erase(id);
            }
            auto isUnfinishedLeft = std::any_of(clients.begin(), clients.end(), [&](const auto& each) {
                return each.second.state == State::Unfinished && each.first != asker;
            });
            RC_ASSERT(!isIdleClosed || !isUnfinishedLeft);
        };
        for (int step = 0; step < 400; ++step) {
            now += std::chrono::milliseconds(random() % 50 == 0 ? 10'000 : random() % 20);
            if (clients.empty() || random() % 4 == 0) {
                std::vector<ClientMemory::ClientId> closed;
                auto id = memory.open(now, closed);
                drop(closed, id.value_or(0));
                if (id)
                    clients.emplace(*id, Shadow {});
            } else {
                auto& [id, client] = *std::next(clients.begin(), long(random() % clients.size()));
                auto asker = id;
                auto choice = random() % 8;
                if (choice == 0) {
                    memory.close(asker);
                    clients.erase(asker);
                } else if (choice == 1) {
                    memory.update(asker, 0, State::Idle, now);
                    client = {};
                } else {
                    auto bytes = std::min<std::size_t>(client.bytes + random() % 100'000, maxRequest);
                    auto state = choice == 2 ? State::Handled : State::Unfinished;
                    auto decision = memory.hold(asker, bytes, state, now);
                    if (decision.isAdmitted)
                        client = { bytes, state };
                    drop(decision.closed, asker);
                }
            }
            std::size_t held = 0;
            for (const auto& [id, client] : clients)
                held += client.bytes + ClientMemory::bytesPerConnection;
            RC_ASSERT(memory.heldBytes() == held);
            RC_ASSERT(held <= budget);
        }
    });
    BOOST_TEST(isKept);
}

// Guards against ordinary clients that pay for a crowd of unfinished bodies.
BOOST_AUTO_TEST_CASE(AnOrdinaryRequestFindsRoomBesideACrowd)
{
    ClientMemory memory(budget);
    std::vector<ClientMemory::ClientId> closed;
    TimePoint now {};
    auto idle = memory.open(now, closed).value();
    // Small, and a second old at the end.
    auto slow = memory.open(now, closed).value();
    std::ignore = memory.hold(slow, 2'000, State::Unfinished, now);
    for (int i = 0; i < 100; ++i) {
        now += 5ms;
        // More than the room that is made at once.
        for (int each = 0; each < 1 + i % 3; ++each)
            std::ignore
                = memory.hold(memory.open(now, closed).value(), maxRequest - 1, State::Unfinished, now);
        now += 5ms;
        auto ordinary = memory.open(now, closed).value();
        // Large ones are larger than what the crowd holds of each.
        auto bytes = i % 2 == 0 ? 3'000 : maxRequest;
        BOOST_TEST(memory.hold(ordinary, bytes, State::Unfinished, now).isAdmitted);
        BOOST_TEST(memory.hold(ordinary, bytes + 20'000, State::Handled, now + 1ms).isAdmitted);
        memory.close(ordinary);
    }
    BOOST_TEST(memory.hold(slow, 2'100, State::Unfinished, now).isAdmitted);
    BOOST_TEST(memory.hold(idle, 3'000, State::Unfinished, now).isAdmitted);
    BOOST_TEST(!memory.hold(idle, 2 * budget, State::Unfinished, now).isAdmitted);
}

BOOST_AUTO_TEST_SUITE_END()
