#include "schedule_world.h"

#include <algorithm>

namespace fulmar::fleet::test {

namespace {

constexpr std::array poolNames { "a", "b", "c" };
constexpr std::size_t vmsPerPool = 6;
constexpr double budgetShare = 0.34;
constexpr auto tickLength = std::chrono::milliseconds(400);
constexpr int ticksPerAction = 3;
// The list is refreshed every this many ticks, which is well within the settings' listLag.
constexpr std::size_t ticksPerList = 8;
constexpr int ticksOfPause = 16;
constexpr std::size_t maxEntries = 6;

// The two processes use different shard counts, as during the roll-out of a settings change, so both can own
// the same pool.
FleetSettings scheduleSettings(Defect defect, std::uint32_t shards)
{
    FleetSettings settings;
    settings.lease = { std::chrono::seconds(4), std::chrono::seconds(1), std::chrono::seconds(1) };
    settings.listLag
        = defect == Defect::UnresponsiveMeansGone ? Duration(0) : Duration(std::chrono::seconds(6));
    settings.listEvery = std::chrono::seconds(1);
    settings.listFreshFor = std::chrono::seconds(4);
    settings.rebootMinimum = std::chrono::seconds(1);
    settings.shards = shards;
    return settings;
}

bool mayReceiveCalls(const VmRecord& vm) { return vm.state == VmState::Serving; }

} // namespace

ScheduleWorld::ScheduleWorld(Defect defect)
    : m_defect(defect)
    , m_fleet(std::vector { scheduleSettings(defect, 2), scheduleSettings(defect, 3) })
{
    for (const auto* pool : poolNames)
        m_fleet.addPool(pool, budgetShare, vmsPerPool);
    m_poolVmList = m_fleet.state.list;
    m_fleet.state.ignoreConditions = defect == Defect::CommitsIgnoreConditions;
    for (int each = 0; each < 3; ++each) {
        auto name = std::to_string(each);
        m_entries.push_back({ ProcessId(name), VmId("entry-" + name), false, false, false, false, 1, {} });
        registerEntry(m_entries.back());
    }
    refreshList();
}

void ScheduleWorld::run(const Schedule& schedule)
{
    for (auto [action, argument] : schedule) {
        applyAction(action, argument);
        for (int each = 0; each < ticksPerAction && m_violation.empty(); ++each)
            tick();
    }
}

void ScheduleWorld::applyAction(std::uint8_t action, std::uint8_t argument)
{
    // Kinds 0-4 submit a command, 5-9 inject a control fault, 10-16 an entry fault. Kinds with the same
    // effect weight it.
    if (auto kind = action % 17; kind < 5)
        submitCommand(argument);
    else if (kind < 10)
        injectControlFault(kind, argument);
    else
        injectEntryFault(kind, argument);
}

void ScheduleWorld::tick()
{
    stepEntries();
    for (std::size_t each = 0; each < 2; ++each) {
        m_fleet.control(each).clock.advance(tickLength);
        if (!m_pausedControls.contains(each))
            stepControl(each);
    }
}

void ScheduleWorld::stepEntries()
{
    if (++m_ticks % ticksPerList == 0)
        refreshList();
    for (auto& entry : m_entries)
        if (!entry.destroyed && !entry.paused && !entry.cutFromPlatform) {
            if (!entry.registered)
                registerEntry(entry);
            entry.state.follow(m_fleet.state.table);
        }
}

void ScheduleWorld::stepControl(std::size_t number)
{
    publishEntries();
    m_fleet.control(number).duty.step();
    check();
}

// Pauses a control process between its decision and its commit, long enough for the other one to take over.
void ScheduleWorld::pauseInCommit(std::size_t number)
{
    m_fleet.control(number).platform.beforeNextCommit(keys::vmPrefix, [this, number] {
        if (std::exchange(m_isPausedInCommit, true))
            return;
        for (int each = 0; each < ticksOfPause; ++each) {
            stepEntries();
            m_fleet.control(number).clock.advance(tickLength);
            m_fleet.control(1 - number).clock.advance(tickLength);
            if (!m_pausedControls.contains(1 - number))
                stepControl(1 - number);
        }
        m_isPausedInCommit = false;
    });
}

void ScheduleWorld::submitCommand(std::uint8_t argument)
{
    auto vm = fmt::format("{}-{}", poolNames[argument % 3], argument / 3 % vmsPerPool);
    switch (argument / 16 % 8) {
    case 0:
        m_fleet.submit(CommandKind::Drain, vm);
        break;
    case 1:
        m_fleet.submit(CommandKind::Undrain, vm);
        break;
    case 2:
        m_fleet.submit(CommandKind::StartWave, fmt::format("w{}", argument));
        break;
    default:
        m_fleet.submit(CommandKind::Move, vm, poolNames[argument / 7 % 3]);
    }
}

void ScheduleWorld::injectControlFault(std::uint8_t action, std::uint8_t argument)
{
    std::size_t number = argument % 2;
    auto& platform = m_fleet.control(number).platform;
    switch (action) {
    case 5:
        if (!m_pausedControls.erase(number))
            m_pausedControls.insert(number);
        break;
    case 6:
        for (int each = 0; each < 1 + argument % 5; ++each)
            platform.addFault(standin::CallFault(argument / 8 % 5));
        break;
    case 7:
        platform.setDown(argument % 4 < 2);
        break;
    case 8:
        pauseInCommit(number);
        break;
    default:
        m_fleet.state.deliverLate();
    }
}

void ScheduleWorld::injectEntryFault(std::uint8_t action, std::uint8_t argument)
{
    auto& entry = m_entries[argument % m_entries.size()];
    if (entry.destroyed)
        return;
    switch (action) {
    case 10:
        entry.paused = !entry.paused;
        break;
    case 11:
    case 12:
        entry.cutFromPlatform = !entry.cutFromPlatform;
        break;
    case 13:
        restart(entry);
        break;
    case 14:
        startFromPeerCopy(entry);
        break;
    case 15:
        entry.destroyed = argument % 3 == 0;
        break;
    default:
        // Starts a call to a VM to which the entry may route, or ends the calls to it.
        for (auto& [id, vm] : entry.state.vms)
            if (id.value().back() == char('0' + argument % vmsPerPool))
                entry.state.inFlight[id] = mayReceiveCalls(vm.record) && argument % 2 ? 1 : 0;
    }
}

// The new incarnation registers if it reaches the platform; otherwise it uses a peer's copy.
void ScheduleWorld::restart(SimEntry& entry)
{
    ++entry.starts;
    entry.state = {};
    entry.registered = false;
    entry.paused = false;
    if (entry.cutFromPlatform)
        copyFromPeer(entry);
    else
        registerEntry(entry);
}

// Starts a new entry that cannot reach the platform and uses a registered entry's copy.
void ScheduleWorld::startFromPeerCopy(const SimEntry& peer)
{
    if (m_entries.size() >= maxEntries || !peer.registered || peer.paused)
        return;
    auto name = std::to_string(m_entries.size());
    m_entries.push_back({ ProcessId(name), VmId("entry-" + name), false, true, false, false, 1, {} });
    copyFromPeer(m_entries.back());
}

void ScheduleWorld::copyFromPeer(SimEntry& entry)
{
    entry.state.incarnation = fmt::format("{}-{}", entry.process.value(), entry.starts);
    for (auto& peer : m_entries) {
        if (!peer.registered || peer.paused || peer.destroyed || peer.process == entry.process)
            continue;
        entry.state.vms = peer.state.vms;
        entry.state.applied = peer.state.applied;
        if (m_defect != Defect::DependentsNotReported)
            peer.state.dependents.push_back({ entry.process, entry.vm, entry.process.value() });
        return;
    }
}

void ScheduleWorld::registerEntry(SimEntry& entry)
{
    auto key = entryKey(entry.process);
    auto rows = m_fleet.state.table.read(key, 0).rows;
    auto earlier = rows.empty() || rows[0].deleted ? std::string()
                                                   : decode<EntryRecord>(rows[0].value).value().incarnation;
    entry.state.incarnation = fmt::format("{}-{}", entry.process.value(), entry.starts);
    EntryRecord row { entry.process, entry.vm, entry.process.value(), RegionId("north"), ZoneId("z0"),
        entry.state.incarnation, earlier, false };
    m_fleet.put(key, encode(row));
    entry.registered = true;
    entry.state.follow(m_fleet.state.table);
    for (auto& peer : m_entries)
        std::erase_if(peer.state.dependents, [&](const auto& each) { return each.process == entry.process; });
}

// Makes the entries' current state visible to the control processes.
void ScheduleWorld::publishEntries()
{
    auto& byAddress = m_fleet.entries.byAddress;
    byAddress.clear();
    for (auto& entry : m_entries) {
        if (entry.destroyed)
            continue;
        auto& shown = byAddress[entry.process.value()] = entry.state;
        shown.answers = !entry.paused;
        m_fleet.entries.confirmAlways = m_defect == Defect::EntriesAlwaysConfirm;
    }
}

void ScheduleWorld::refreshList()
{
    auto list = m_poolVmList;
    for (const auto& entry : m_entries)
        if (!entry.destroyed && !(m_defect == Defect::UnresponsiveMeansGone && entry.paused))
            list.push_back({ entry.vm, VmPresence::Live, entry.process.value(), ZoneId("z0"), {} });
    m_fleet.state.list = list;
}

void ScheduleWorld::check()
{
    for (const auto& row : m_fleet.state.table.read(keys::vmPrefix, m_checkedVersion).rows) {
        auto vm = decode<VmRecord>(row.value).value();
        auto& known = m_vms[vm.vm];
        m_poolChanges += !known.pool.empty() && known.pool != vm.pool ? 1 : 0;
        known = vm;
    }
    m_checkedVersion = m_fleet.state.table.version();
    for (const auto& [id, vm] : m_vms)
        if (mayReceiveCalls(vm))
            checkOnePool(vm);
    checkBudgets();
}

// No entry that still exists, paused or not, may route to the VM for a pool that the VM has left.
void ScheduleWorld::checkOnePool(const VmRecord& inTable)
{
    for (const auto& entry : m_entries) {
        auto known = entry.state.vms.find(inTable.vm);
        if (entry.destroyed || known == entry.state.vms.end())
            continue;
        const auto& record = known->second.record;
        if (mayReceiveCalls(record) && record.pool != inTable.pool && m_violation.empty())
            m_violation = fmt::format("entry {} may route to {} for pool {}, but it serves pool {}",
                entry.process.value(), inTable.vm.value(), record.pool.value(), inTable.pool.value());
    }
}

void ScheduleWorld::checkBudgets()
{
    std::map<PoolId, std::uint32_t> totals;
    std::map<std::string, std::pair<PoolId, std::uint32_t>> unavailable;
    for (const auto& [id, vm] : m_vms) {
        ++totals[vm.pool];
        if (mayReceiveCalls(vm))
            continue;
        for (const auto& domain : { std::string("pool"), vm.rack.value(), vm.zone.value() }) {
            auto& [pool, count] = unavailable[vm.pool.value() + "/" + domain];
            pool = vm.pool;
            ++count;
        }
    }
    for (const auto& [name, domain] : unavailable)
        if (domain.second > allowedVms(budgetShare, totals[domain.first]) && m_violation.empty())
            m_violation
                = fmt::format("{}: {} VMs unavailable of {}", name, domain.second, totals[domain.first]);
}

} // namespace fulmar::fleet::test
