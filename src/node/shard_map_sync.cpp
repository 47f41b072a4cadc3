#include "node/shard_map_sync.h"

#include "core/log.h"
#include "platform/names.h"

namespace fulmar::node {

namespace {

using namespace std::chrono_literals;

// Row with the number of shards of the fleet.
constexpr auto mapKey = "shards";
constexpr std::chrono::milliseconds callTimeout { 1'200 };
constexpr std::chrono::milliseconds retryPause { 250 };
// The number of shards cannot be changed later, so a list of VMs that may be away only for a moment is
// awaited.
constexpr std::chrono::milliseconds listPatience { 2'000 };

} // namespace

ShardMapSync::ShardMapSync(asio::io_context& loop, platform::StoreClient& store, platform::VmClient& vms)
    : m_store(store)
    , m_vms(vms)
    , m_timer(loop)
{
}

void ShardMapSync::start(std::chrono::milliseconds jitter, OnMap onMap)
{
    m_jitter = jitter;
    m_onMap = std::move(onMap);
    read();
}

void ShardMapSync::read()
{
    m_store.read(layoutTable, "", {}, { callTimeout }, [this](const std::optional<platform::RowPage>& page) {
        auto map = page && !page->rows.empty() ? decodeShardMap(page->rows.front().value) : std::nullopt;
        if (map) {
            m_onMap(*map);
            return;
        }
        if (!page)
            logWarning("shard-map-read-failed", { { "retry-ms", std::to_string(retryPause.count()) } });
        m_timer.expires_after(retryPause + m_jitter);
        m_timer.async_wait([this, isEmpty = page && page->rows.empty()](const asio::error_code& error) {
            if (error)
                return;
            if (isEmpty)
                propose();
            else
                read();
        });
    });
}

void ShardMapSync::propose()
{
    if (!m_vms.isAvailable()) {
        proposeForRunners();
        return;
    }
    m_vms.list([this, asked = m_clock.now()](const std::optional<std::vector<jobs::VmRecord>>& vms) {
        if (vms && !vms->empty()) {
            proposeFor(vms->size());
            return;
        }
        if (!m_listMissingSince) {
            m_listMissingSince = asked;
            logWarning("vm-list-missing", { { "answered", vms ? "empty" : "no" } });
        }
        if (m_clock.now() < *m_listMissingSince + listPatience)
            read();
        else
            proposeForRunners();
    });
}

// Each runner counts as a VM.
void ShardMapSync::proposeForRunners()
{
    m_store.readAll(
        platform::runnerListTable, "", callTimeout, [this](const std::optional<platform::RowPage>& runners) {
            proposeFor(runners ? runners->rows.size() : 0);
        });
}

void ShardMapSync::proposeFor(std::size_t vms)
{
    if (vms == 0) {
        read();
        return;
    }
    platform::RowName name { layoutTable, "", mapKey };
    platform::RowTransaction transaction;
    transaction.conditions.push_back({ name, 0 });
    transaction.puts.push_back({ name, encodeShardMap(shardMapFor(vms)) });
    m_store.commit(transaction, callTimeout, [this](const platform::CommitResult& result) {
        // The row is read again whatever the outcome: another process may have written it.
        logInfo("shard-map-proposed", { { "outcome", std::string(toString(result.outcome)) } });
        read();
    });
}

} // namespace fulmar::node
