#include "bench/serve_bench.h"

#include "bench/serve_claims.h"
#include "bench/serve_naive.h"
#include "bench/serve_world.h"
#include "serve/dispatcher.h"

#include <fmt/format.h>

namespace fulmar::bench {

namespace {

// Whether entry VMs lend each other slots, or each keeps to its own share.
enum class Lending : std::uint8_t {
    Off,
    On,
};

// The dispatcher as the bench drives it.
template <Lending lending> class DispatcherEntry {
public:
    DispatcherEntry(const serve::EntryVm& self, const std::vector<serve::EntryVm>& entries,
        const serve::ServiceEntry& service, TimePoint now)
        : m_dispatcher(settingsOf(self))
    {
        serve::DirectoryChange directory;
        directory.changed.push_back(service);
        std::ignore = m_dispatcher.setEntryVms(entries, now);
        std::ignore = m_dispatcher.applyDirectory(directory, now);
    }

    [[nodiscard]] serve::Actions onCall(serve::RequestId id, const serve::CallInfo& call, TimePoint now)
    {
        return m_dispatcher.onCall(id, call, now);
    }
    [[nodiscard]] serve::Actions onAttemptEnd(
        serve::AttemptId id, const serve::AttemptEnd& end, TimePoint now)
    {
        return m_dispatcher.onAttemptEnd(id, end, now);
    }
    [[nodiscard]] serve::Actions onCallerGone(serve::RequestId id, TimePoint now)
    {
        return m_dispatcher.onCallerGone(id, now);
    }
    [[nodiscard]] serve::Actions onTick(TimePoint now) { return m_dispatcher.onTick(now); }
    [[nodiscard]] std::optional<TimePoint> nextWake() const { return m_dispatcher.nextWake(); }
    [[nodiscard]] serve::PeerLoad loadFor(const ProcessId& peer, TimePoint now)
    {
        auto load = m_dispatcher.loadFor(peer, now);
        if (lending == Lending::Off)
            load.wanted.clear();
        return load;
    }
    [[nodiscard]] serve::Actions onPeerLoad(const ProcessId& peer, const serve::PeerLoad& load, TimePoint now)
    {
        return m_dispatcher.onPeerLoad(peer, load, now);
    }

private:
    static serve::DispatcherSettings settingsOf(const serve::EntryVm& self)
    {
        serve::DispatcherSettings settings;
        settings.zone = self.zone;
        settings.process = self.process;
        settings.incarnation = 1;
        return settings;
    }

    serve::Dispatcher m_dispatcher;
};

double milliseconds(Duration time) { return std::chrono::duration<double, std::milli>(time).count(); }

void printRow(std::ostream& out, const ServeCase& which, const char* version, const ServeFigures& figures)
{
    constexpr double percent = 100;
    out << fmt::format("{:<14} {:<8} {:>7.1f} {:>7.1f} {:>6.1f} {:>8.1f} {:>7.1f} {:>9.1f} {:>9.1f} "
                       "{:>10.1f} {:>8} {:>7.2f} {:>6} {:>8} "
                       "{:>8.2f}\n",
        which.name, version, percent * figures.useful, percent * figures.wasted, percent * figures.lateShare,
        percent * figures.refusedShare, percent * figures.failedShare, milliseconds(figures.medianWait),
        milliseconds(figures.p99Wait), milliseconds(figures.p99ShortWait), figures.retries,
        figures.beyondLimit, figures.astray, figures.doubled, figures.fairness);
}

// What claiming keys costs the platform's table, each in its own transaction and sharing one. Gives a
// signature of the figures.
std::uint64_t printClaims(std::ostream& out)
{
    out << fmt::format("{:<10} {:<8} {:>14} {:>8} {:>10} {:>10}\n", "claims/s", "version", "transactions/s",
        "reads/s", "delay50ms", "delay99ms");
    constexpr double resendShare = 0.05;
    std::uint64_t signature = 0;
    for (auto rate : { 50.0, 200.0, 400.0, 800.0 })
        for (bool shared : { false, true }) {
            auto figures = measureClaims({ rate, resendShare, shared });
            out << fmt::format("{:<10} {:<8} {:>14.1f} {:>8.1f} {:>10.1f} {:>10.1f}\n", rate,
                shared ? "shared" : "single", figures.transactionsPerSecond, figures.readsPerSecond,
                milliseconds(figures.medianDelay), milliseconds(figures.p99Delay));
            signature = XXH3_64bits_withSeed(&figures, sizeof figures, signature);
        }
    return signature;
}

std::vector<ServeCase> benchCases()
{
    std::vector<ServeCase> cases;
    for (auto load : { 0.5, 1.0, 5.0 }) {
        cases.push_back({ fmt::format("{}x-sound", load), load });
        cases.push_back({ fmt::format("{}x-failing", load), load, 1, 0 });
        cases.push_back({ fmt::format("{}x-slow", load), load, 0, 1 });
    }
    constexpr double half = 0.5;
    constexpr double mostCalls = 0.8;
    cases.push_back({ "0.5x-one-zone", half, 0, 0, mostCalls });
    cases.push_back({ "0.5x-cut", half, 0, 0, 1.0 / zoneCount, true });
    constexpr double burst = 2.0;
    cases.push_back({ "2x-bursts", burst, 0, 0, 1.0 / zoneCount, false, true });
    cases.push_back({ "2x-bursts-slow", burst, 0, 1, 1.0 / zoneCount, false, true });
    return cases;
}

} // namespace

ServeComparison compareServe(const ServeCase& which)
{
    return { ServeWorld<NaiveEntry>(which).run(), ServeWorld<DispatcherEntry<Lending::Off>>(which).run(),
        ServeWorld<DispatcherEntry<Lending::On>>(which).run() };
}

void runServeBench(std::ostream& out)
{
    out << fmt::format(
        "{:<14} {:<8} {:>7} {:>7} {:>6} {:>8} {:>7} {:>9} {:>9} {:>10} {:>8} {:>7} {:>6} {:>8} {:>8}\n",
        "case", "version", "useful%", "wasted%", "late%", "refused%", "failed%", "wait50ms", "wait99ms",
        "short99ms", "retries", "beyond", "astray", "doubled", "fairness");
    std::uint64_t signature = 0;
    for (const auto& which : benchCases()) {
        auto [naive, fixed, present] = compareServe(which);
        printRow(out, which, "naive", naive);
        printRow(out, which, "fixed", fixed);
        printRow(out, which, "present", present);
        for (auto part : { naive.signature, fixed.signature, present.signature })
            signature = XXH3_64bits_withSeed(&part, sizeof part, signature);
    }
    signature ^= printClaims(out);
    out << fmt::format("serve-signature={:016x}\n", signature);
}

} // namespace fulmar::bench
