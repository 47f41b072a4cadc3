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

// Parts of the system to leave out, to show that the checks notice.
enum class Defect : std::uint8_t {
    None,
    // Every entry confirms at once.
    EntriesConfirmUnasked,
    // Commits ignore all conditions.
    CommitsUnconditional,
    // Entries do not name those that they gave a copy.
    DependentsUnnamed,
    // An entry that does not answer counts as gone.
    SilenceMeansGone,
};

// An entry process: what the platform and its peers know of it.
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

// Two control processes, entries and a platform that a schedule disturbs, one action after the other. Checks
// after each step that every VM is served in one pool only, and that every budget holds.
class ScheduleWorld {
public:
    explicit ScheduleWorld(Defect defect = Defect::None);

    void run(const Schedule&);

    // Empty, or what was broken first.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    [[nodiscard]] std::size_t poolChanges() const { return m_poolChanges; }
    [[nodiscard]] std::size_t reboots() const { return m_fleet.state.reboots.size(); }

private:
    void act(std::uint8_t action, std::uint8_t argument);
    void tick();
    void order(std::uint8_t argument);
    void disturbControl(std::uint8_t action, std::uint8_t argument);
    void disturbEntry(std::uint8_t action, std::uint8_t argument);
    void pauseInCommit(std::size_t number);
    void stepEntries();
    void stepControl(std::size_t number);
    void restart(SimEntry&);
    void startSponsored(const SimEntry& sponsor);
    void registerEntry(SimEntry&);
    void copyFromPeer(SimEntry&);
    void publish();
    void refreshList();
    void check();
    void checkOnePool(const VmRecord& inTable);
    void checkBudgets();

    Defect m_defect;
    Fleet m_fleet;
    std::vector<SimEntry> m_entries;
    std::set<std::size_t> m_pausedControls;
    bool m_isPausedInCommit { false };
    std::vector<ListedVm> m_targets;
    std::map<VmId, VmRecord> m_vms;
    Version m_checkedVersion { 0 };
    std::size_t m_ticks { 0 };
    std::size_t m_poolChanges { 0 };
    std::string m_violation;
};

} // namespace fulmar::fleet::test
