#pragma once

#include "fleet_fixture.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fulmar::fleet::test {

using Schedule = std::vector<std::pair<std::uint8_t, std::uint8_t>>;

// Faults to inject into the system, to show that the checks detect them.
enum class Defect : std::uint8_t {
    None,
    // Every entry confirms every VM at once, whatever its state.
    EntriesAlwaysConfirm,
    // Commits ignore all conditions.
    CommitsIgnoreConditions,
    // Entries do not report the entries to which they gave copies.
    DependentsNotReported,
    // An entry that does not answer counts as gone.
    UnresponsiveMeansGone,
};

// A simulated entry process.
struct SimEntry {
    ProcessId process;
    VmId vm;
    bool registered { false };
    bool cutFromPlatform { false };
    bool paused { false };
    bool destroyed { false };
    std::uint32_t starts { 1 };
    FakeEntry state;
};

// Simulates two control processes, entries and a platform, and applies a schedule's faults and commands one
// by one. Checks after each control step that every VM serves one pool only and that all budgets hold.
class ScheduleWorld {
public:
    explicit ScheduleWorld(Defect defect = Defect::None);

    void run(const Schedule&);

    // The first violation of a check; empty if there is none.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t poolChanges() const { return m_poolChanges; }
    [[nodiscard]] std::size_t reboots() const { return m_fleet.state.reboots.size(); }

private:
    void applyAction(std::uint8_t action, std::uint8_t argument);
    void tick();
    void submitCommand(std::uint8_t argument);
    void injectControlFault(std::uint8_t action, std::uint8_t argument);
    void injectEntryFault(std::uint8_t action, std::uint8_t argument);
    void pauseInCommit(std::size_t number);
    void stepEntries();
    void stepControl(std::size_t number);
    void restart(SimEntry&);
    void startFromPeerCopy(const SimEntry& peer);
    void registerEntry(SimEntry&);
    void copyFromPeer(SimEntry&);
    void publishEntries();
    void refreshList();
    void check();
    void checkOnePool(const VmRecord& inTable);
    void checkBudgets();

    Defect m_defect;
    Fleet m_fleet;
    std::vector<SimEntry> m_entries;
    std::set<std::size_t> m_pausedControls;
    bool m_isPausedInCommit { false };
    std::vector<ListedVm> m_poolVmList;
    std::map<VmId, VmRecord> m_vms;
    Version m_checkedVersion { 0 };
    std::size_t m_ticks { 0 };
    std::size_t m_poolChanges { 0 };
    std::string m_violation;
};

} // namespace fulmar::fleet::test
