#include "node/tests/fake_platform.h"

#include "platform/wire_json.h"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <fmt/format.h>

namespace fulmar::node::test {

namespace {

using platform::Json;
using namespace std::chrono_literals;

// Longer than any test.
constexpr std::chrono::milliseconds silence { 60'000 };
constexpr std::chrono::milliseconds emptyFeedPause { 20 };

} // namespace

FakePlatform::FakePlatform(std::chrono::milliseconds maintenanceTime)
    : m_maintenanceTime(maintenanceTime)
{
    auto port = m_host.listen(
        "127.0.0.1:0", [this](const standin::HttpRequest& request) { return answer(request); });
    m_address = fmt::format("127.0.0.1:{}", port);
    m_cutOffAddress = fmt::format("127.0.0.1:{}",
        m_host.listen(
            "127.0.0.1:0", [this](const standin::HttpRequest& request) { return answerCutOff(request); }));
    m_thread = std::thread([this] { m_host.run(); });
}

FakePlatform::~FakePlatform()
{
    m_host.stop();
    m_thread.join();
}

std::string FakePlatform::freeAddress()
{
    asio::io_context loop;
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::address_v4::loopback(), 0 });
    return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

void FakePlatform::put(
    const std::string& table, const std::string& part, const std::string& key, std::string value)
{
    std::lock_guard lock(m_mutex);
    m_rows[{ table, part, key }] = { std::move(value), ++m_version };
}

FakePlatform::Rows FakePlatform::rows()
{
    std::lock_guard lock(m_mutex);
    return m_rows;
}

void FakePlatform::setRows(Rows rows)
{
    std::lock_guard lock(m_mutex);
    m_rows = std::move(rows);
    for (const auto& [name, row] : m_rows)
        m_version = std::max(m_version, row.version);
}

void FakePlatform::setFate(DecideFate decideFate)
{
    std::lock_guard lock(m_mutex);
    m_decideFate = std::move(decideFate);
}

std::vector<FakePlatform::Rows> FakePlatform::history()
{
    std::lock_guard lock(m_mutex);
    return m_history;
}

void FakePlatform::addVm(const VmId& vm, const PoolId& pool, std::string runner)
{
    std::lock_guard lock(m_mutex);
    m_vms[vm].pool = pool;
    m_vms[vm].runner = std::move(runner);
}

void FakePlatform::setVmDown(const VmId& vm, bool isDown)
{
    std::lock_guard lock(m_mutex);
    m_vms.at(vm).isDown = isDown;
}

void FakePlatform::setVmListed(const VmId& vm, bool isListed)
{
    std::lock_guard lock(m_mutex);
    m_vms.at(vm).isListed = isListed;
}

void FakePlatform::setMaintained(const VmId& vm)
{
    std::lock_guard lock(m_mutex);
    m_vms.at(vm).isMaintained = true;
}

std::string FakePlatform::value(const std::string& table, const std::string& part, const std::string& key)
{
    std::lock_guard lock(m_mutex);
    auto found = m_rows.find({ table, part, key });
    return found == m_rows.end() ? std::string() : found->second.value;
}

std::size_t FakePlatform::maintainedCount()
{
    std::lock_guard lock(m_mutex);
    return std::size_t(
        std::count_if(m_vms.begin(), m_vms.end(), [](const auto& each) { return each.second.isMaintained; }));
}

std::size_t FakePlatform::maxInMaintenance()
{
    std::lock_guard lock(m_mutex);
    return m_maxInMaintenance;
}

standin::HttpReply FakePlatform::answer(const standin::HttpRequest& request)
{
    std::lock_guard lock(m_mutex);
    if (request.path == "/api/rows-tx")
        return commit(request.body);
    if (request.path == "/api/rows-get")
        return read(request, false);
    if (request.path == "/api/rows-feed")
        return read(request, true);
    if (request.path == "/api/machines")
        return listVms();
    if (request.path == "/api/machine-move")
        return move(request.body);
    if (request.path == "/api/machine-upkeep")
        return maintain(request.body);
    return { 404, "{}" };
}

void FakePlatform::hide(std::string text, std::string replacement)
{
    std::lock_guard lock(m_mutex);
    m_hidden = { std::move(text), std::move(replacement) };
}

standin::HttpReply FakePlatform::answerCutOff(const standin::HttpRequest& request)
{
    auto reply = answer(request);
    auto json = platform::parseObject(reply.body);
    if (!json || !json->contains("rows"))
        return reply;
    std::lock_guard lock(m_mutex);
    for (auto& row : json->at("rows")) {
        auto value = platform::decodeBase64(row.at("value").get<std::string>()).value_or("");
        if (auto found = value.find(m_hidden.first); found != std::string::npos && !m_hidden.first.empty())
            row["value"]
                = platform::encodeBase64(value.replace(found, m_hidden.first.size(), m_hidden.second));
    }
    reply.body = platform::toText(*json);
    return reply;
}

standin::HttpReply FakePlatform::commit(const std::string& body)
{
    if (m_areTransactionsSilent)
        return { 200, "{}", {}, silence };
    auto json = *platform::parseObject(body);
    auto nameOf = [](const Json& row) { return RowName { row.at("table"), row.at("part"), row.at("key") }; };
    std::vector<RowName> changed;
    for (const auto& row : json.at("set-keys")) {
        if (platform::decodeBase64(row.at("value").get<std::string>()).value_or("").size() > m_maxRowBytes)
            return { 400, "{}" };
        changed.push_back(nameOf(row));
    }
    for (const auto& row : json.at("remove"))
        changed.push_back(nameOf(row));
    auto fate = m_decideFate ? m_decideFate(changed) : TransactionFate::Committed;
    if (fate == TransactionFate::Refused)
        return { 400, "{}" };
    if (fate == TransactionFate::Unavailable)
        return { 503, "{}" };
    if (fate == TransactionFate::Dropped)
        return { 500, "{}" };
    if (m_areConditionsChecked && !areMet(json.at("expected-rev")))
        return { 412, platform::toText({ { "rows", currentRows(json.at("expected-rev")) } }) };
    ++m_version;
    for (const auto& row : json.at("set-keys"))
        m_rows[nameOf(row)]
            = { platform::decodeBase64(row.at("value").get<std::string>()).value_or(""), m_version };
    for (const auto& row : json.at("remove"))
        m_rows.erase(nameOf(row));
    m_history.push_back(m_rows);
    if (fate == TransactionFate::AnswerLost)
        return { 500, "{}" };
    return { 200, platform::toText({ { "row-version", m_version } }), {}, m_commitTime };
}

bool FakePlatform::areMet(const platform::Json& conditions) const
{
    return std::all_of(conditions.begin(), conditions.end(), [&](const Json& condition) {
        auto found = m_rows.find({ condition.at("table"), condition.at("part"), condition.at("key") });
        auto version = found == m_rows.end() ? 0 : found->second.version;
        return condition.at("row-version") == version;
    });
}

platform::Json FakePlatform::currentRows(const platform::Json& conditions) const
{
    auto list = Json::array();
    for (const auto& condition : conditions)
        if (auto found = m_rows.find({ condition.at("table"), condition.at("part"), condition.at("key") });
            found != m_rows.end())
            list.push_back(rowJson(*found));
    return list;
}

platform::Json FakePlatform::rowJson(const Rows::value_type& each)
{
    const auto& [name, row] = each;
    const auto& [table, part, key] = name;
    return { { "table", table }, { "part", part }, { "key", key }, { "row-version", row.version },
        { "value", platform::encodeBase64(row.value) } };
}

standin::HttpReply FakePlatform::read(const standin::HttpRequest& request, bool isFeed)
{
    auto after = isFeed ? Version(std::stoull(request.query.at("after"))) : 0;
    auto list = Json::array();
    for (const auto& each : m_rows) {
        const auto& [table, part, key] = each.first;
        auto isWanted = table == request.query.at("table") && each.second.version > after
            && (isFeed || part == request.query.at("part"));
        if (isWanted)
            list.push_back(rowJson(each));
    }
    auto isEmptyFeed = isFeed && list.empty();
    standin::HttpReply reply { 200,
        platform::toText(
            { { "rows", std::move(list) }, { "has-more", false }, { "row-version", m_version } }) };
    if (isEmptyFeed)
        reply.delay = emptyFeedPause;
    return reply;
}

standin::HttpReply FakePlatform::listVms()
{
    ++m_lists;
    auto list = Json::array();
    for (const auto& [id, vm] : m_vms) {
        if (!vm.isListed)
            continue;
        auto isInMaintenance = vm.downUntil > std::chrono::steady_clock::now();
        list.push_back(
            { { "machine", id.value() }, { "pool", vm.pool.value() }, { "id", vm.isDown ? "" : vm.runner },
                { "capacity", { { "cpu", 16'000 }, { "mem-mb", 32'768 }, { "gpu", 0 } } },
                { "state",
                    vm.isDown             ? "down"
                        : isInMaintenance ? "upkeep"
                                          : "up" } });
    }
    return { 200, platform::toText({ { "machines", std::move(list) }, { "next-token", nullptr } }) };
}

standin::HttpReply FakePlatform::move(const std::string& body)
{
    auto json = *platform::parseObject(body);
    auto vm = m_vms.find(VmId(platform::textOf(json, "machine")));
    if (vm == m_vms.end())
        return { 400, "{}" };
    if (m_areVmOrdersSilent)
        return { 200, "{}", {}, silence };
    vm->second.pool = PoolId(platform::textOf(json, "pool"));
    return { 200, "{}" };
}

standin::HttpReply FakePlatform::maintain(const std::string& body)
{
    if (m_areVmOrdersSilent)
        return { 200, "{}", {}, silence };
    auto now = std::chrono::steady_clock::now();
    auto vm = m_vms.find(VmId(platform::textOf(*platform::parseObject(body), "machine")));
    if (vm == m_vms.end())
        return { 400, "{}" };
    if (!std::exchange(vm->second.isMaintained, true))
        vm->second.downUntil = now + m_maintenanceTime;
    auto down = std::size_t(std::count_if(
        m_vms.begin(), m_vms.end(), [now](const auto& each) { return each.second.downUntil > now; }));
    m_maxInMaintenance = std::max(m_maxInMaintenance, down);
    return { 200, "{}" };
}

} // namespace fulmar::node::test
