#include "serve/dispatcher.h"
#include "serve/slot_account.h"
#include "serve/slot_exchange.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck/boost_test.h>

using namespace fulmar;
using namespace fulmar::serve;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 8;

// Faults injected into the simulation, to show that the property detects them.
enum class Fault : std::uint8_t {
    None,
    LoansLastTooLong,
    BorrowedSlotsAreNotReported,
    SharesOverlap,
};

// Four entry VMs in two zones that exchange delayed, lost and duplicate messages and share two targets.
class Simulation {
public:
    explicit Simulation(Fault fault)
        : m_fault(fault)
    {
        ServiceEntry service;
        service.config.service = ServiceId("s");
        service.config.slotsPerTarget = slots;
        service.config.queueLimit = 20;
        for (const auto* vm : { "v1", "v2" })
            service.targets.push_back({ VmId(vm), "127.0.0.1:1", ZoneId("a"), RackId(vm), true, 1 });
        DirectoryChange directory;
        directory.changed.push_back(service);
        std::vector<EntryVm> entries;
        entries.reserve(4);
        for (int i = 0; i < 4; ++i)
            entries.push_back({ processOf(i), ZoneId(i < 3 ? "a" : "b") });
        for (std::size_t i = 0; i < entries.size(); ++i) {
            DispatcherSettings settings;
            settings.zone = entries[i].zone;
            settings.process = entries[i].process;
            m_entries.push_back({ Dispatcher(settings), {} });
            auto& dispatcher = m_entries.back().dispatcher;
            auto known = fault == Fault::SharesOverlap ? std::vector { entries[i] } : entries;
            handle(i, dispatcher.setEntryVms(known, m_now));
            handle(i, dispatcher.applyDirectory(directory, m_now));
        }
        m_now += 3s;
    }

    void run(std::uint8_t kind, std::uint8_t detail);
    [[nodiscard]] std::uint32_t maxInFlight() const { return m_maxInFlight; }
    [[nodiscard]] std::uint32_t startedInOtherZone() const { return m_startedInOtherZone; }

private:
    struct Entry {
        Dispatcher dispatcher;
        std::map<AttemptId, VmId> attempts;
    };
    struct Message {
        std::size_t from { 0 };
        std::size_t to { 0 };
        PeerLoad load;
    };

    static ProcessId processOf(std::size_t index) { return ProcessId("e" + std::to_string(index)); }
    void handle(std::size_t index, const Actions&);

    Fault m_fault;
    std::vector<Entry> m_entries;
    std::vector<Message> m_messages;
    TimePoint m_now { 1000s };
    RequestId m_last { 0 };
    std::map<VmId, std::uint32_t> m_inFlight;
    std::uint32_t m_maxInFlight { 0 };
    std::uint32_t m_startedInOtherZone { 0 };
};

void Simulation::run(std::uint8_t kind, std::uint8_t detail)
{
    auto index = detail % m_entries.size();
    auto& entry = m_entries[index];
    switch (kind % 8) {
    case 0:
    case 1: {
        CallInfo call { ServiceId("s"), "GET", "/x", "c", {}, 60s, 0 };
        handle(index, entry.dispatcher.onCall(++m_last, call, m_now));
        break;
    }
    case 2:
        if (!entry.attempts.empty()) {
            auto [attempt, vm] = *entry.attempts.begin();
            entry.attempts.erase(entry.attempts.begin());
            --m_inFlight[vm];
            handle(index,
                entry.dispatcher.onAttemptEnd(attempt, { Outcome::Ran, 200, {}, false, false, {} }, m_now));
        }
        break;
    case 3:
        m_now += std::chrono::milliseconds(detail);
        for (std::size_t i = 0; i < m_entries.size(); ++i)
            handle(i, m_entries[i].dispatcher.onTick(m_now));
        break;
    case 4:
    case 5: {
        auto to = (index + 1 + detail / 4 % 3) % m_entries.size();
        auto load = entry.dispatcher.loadFor(processOf(to), m_now);
        if (m_fault == Fault::LoansLastTooLong)
            load.lentFor = 5s;
        if (m_fault == Fault::BorrowedSlotsAreNotReported)
            load.borrowed.clear();
        m_messages.push_back({ index, to, load });
        break;
    }
    default:
        if (!m_messages.empty()) {
            auto position = m_messages.begin() + detail % std::ptrdiff_t(m_messages.size());
            auto message = *position;
            // Most messages arrive once, some twice or never.
            if (detail % 8 != 0)
                m_messages.erase(position);
            if (detail % 16 != 1)
                handle(message.to,
                    m_entries[message.to].dispatcher.onPeerLoad(
                        processOf(message.from), message.load, m_now));
        }
    }
}

void Simulation::handle(std::size_t index, const Actions& actions)
{
    for (const auto& action : actions)
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
            m_entries[index].attempts.emplace(start->attempt, start->target);
            m_maxInFlight = std::max(m_maxInFlight, ++m_inFlight[start->target]);
            m_startedInOtherZone += index == 3 ? 1 : 0;
        }
}

Simulation runRandomSchedule(std::uint64_t seed, Fault fault)
{
    std::mt19937_64 random(seed);
    Simulation simulation(fault);
    for (int i = 0; i < 600; ++i)
        simulation.run(std::uint8_t(random()), std::uint8_t(random()));
    return simulation;
}

bool isDetected(Fault fault)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed)
        if (runRandomSchedule(seed, fault).maxInFlight() > slots)
            return true;
    return false;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Slots)

RC_BOOST_PROP(NoTargetHasMoreCallsThanSlots, ())
{
    auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RC_ASSERT(runRandomSchedule(seed, Fault::None).maxInFlight() <= slots);
}

BOOST_AUTO_TEST_CASE(AZoneWithoutTargetsBorrowsAndEverySlotIsUsed)
{
    std::uint32_t inOtherZone = 0;
    std::uint32_t maxInFlight = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto simulation = runRandomSchedule(seed, Fault::None);
        inOtherZone += simulation.startedInOtherZone();
        maxInFlight = std::max(maxInFlight, simulation.maxInFlight());
    }
    BOOST_TEST(inOtherZone > 0U);
    BOOST_TEST(maxInFlight == slots);
}

BOOST_AUTO_TEST_CASE(InjectedFaultsAreDetected)
{
    BOOST_TEST(isDetected(Fault::LoansLastTooLong));
    BOOST_TEST(isDetected(Fault::BorrowedSlotsAreNotReported));
    BOOST_TEST(isDetected(Fault::SharesOverlap));
}

// Two entry VMs of one zone share a target; the second is paused for a while.
BOOST_AUTO_TEST_CASE(SlotsOfASilentEntryVmAreUsedByTheZonesOthers)
{
    std::vector<EntryVm> entries { { ProcessId("e0"), ZoneId("a") }, { ProcessId("e1"), ZoneId("a") } };
    ServiceEntry service;
    service.config.service = ServiceId("s");
    service.targets.push_back({ VmId("v"), "127.0.0.1:1", ZoneId("a"), RackId("r"), true, 1 });
    std::vector<std::unique_ptr<Targets>> targets;
    std::vector<std::unique_ptr<SlotExchange>> exchanges;
    TimePoint now { 1000s };
    for (const auto& entry : entries) {
        targets.push_back(std::make_unique<Targets>(entry, 1));
        exchanges.push_back(std::make_unique<SlotExchange>(entry, 1, *targets.back()));
        exchanges.back()->setRegistered(entries, now);
        targets.back()->setEntryVms(exchanges.back()->sharers(now), now);
        targets.back()->setService(service, now);
    }
    auto round = [&](std::size_t from, bool isHeard) {
        if (exchanges[from]->detectPause(now))
            targets[from]->reacquireSlots(now);
        auto load = exchanges[from]->loadFor(entries[1 - from].process, {}, now);
        if (isHeard)
            exchanges[1 - from]->onPeerLoad(entries[from].process, load, now);
        for (std::size_t i = 0; i < 2; ++i)
            if (i == from || isHeard)
                targets[i]->setEntryVms(exchanges[i]->sharers(now), now);
    };
    auto limits = [&] {
        return std::pair { targets[0]->slotLimit(ServiceId("s"), now),
            targets[1]->slotLimit(ServiceId("s"), now) };
    };
    for (int i = 0; i < 30; ++i, now += 100ms) {
        round(0, true);
        round(1, true);
    }
    BOOST_TEST((limits() == std::pair { slots / 2, slots / 2 }));
    // The second is paused: it sends no messages and does not notice the time that passes.
    for (int i = 0; i < 130; ++i, now += 100ms)
        round(0, false);
    BOOST_TEST(limits().first == slots);
    // The second resumes. It first gives up its slots, and takes them again once the first must have noticed.
    round(1, true);
    BOOST_TEST((limits() == std::pair { slots / 2, 0U }));
    for (int i = 0; i < 30; ++i, now += 100ms) {
        round(0, true);
        round(1, true);
        BOOST_TEST(limits().first + limits().second <= slots);
    }
    BOOST_TEST((limits() == std::pair { slots / 2, slots / 2 }));
}

RC_BOOST_PROP(SlotsAreAllocatedOnceAndEvenly, ())
{
    auto count = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<ProcessId> sharers;
    for (std::size_t i = 0; i < count; ++i)
        sharers.emplace_back("e" + std::to_string(*rc::gen::inRange(0, 1000)) + "-" + std::to_string(i));
    VmId vm("vm" + std::to_string(*rc::gen::inRange(0, 1000)));
    std::uint32_t total = 0;
    for (const auto& sharer : sharers) {
        auto allocated = allocatedSlots(vm, slots, sharers, sharer);
        RC_ASSERT(allocated >= slots / count && allocated <= (slots + count - 1) / count);
        total += allocated;
    }
    RC_ASSERT(total == slots);
}

BOOST_AUTO_TEST_SUITE_END()
