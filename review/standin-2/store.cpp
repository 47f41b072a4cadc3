#include "world.h"

#include <algorithm>
#include <array>

namespace fulmar::review2 {

namespace {

constexpr Millis transactionTime { 8 };
constexpr Millis answerTime { 4 };
constexpr std::int64_t maxPageRows = 500;
constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(const std::string& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? std::uint8_t(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text.push_back(i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=');
    }
    return text;
}

std::string fromBase64(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (char each : text) {
        auto digit = digits.find(each);
        if (digit == std::string_view::npos)
            break;
        group = group << 6 | std::uint32_t(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(char(group >> bits & 255U));
        }
    }
    return bytes;
}

Json nameJson(const Store::Name& name)
{
    return { { "table", name.table }, { "part", name.part }, { "key", name.key } };
}

Store::Name nameOf(const Json& json) { return { json.at("table"), json.value("part", ""), json.at("key") }; }

std::string queryOf(const HttpRequest& request, const std::string& name)
{
    auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
}

std::int64_t numberOf(const HttpRequest& request, const std::string& name, std::int64_t fallback)
{
    auto text = queryOf(request, name);
    return text.empty() ? fallback : std::stoll(text);
}

} // namespace

Store::Store(const std::string& ip)
    : m_server(ip, [this](const HttpRequest& request) { return answer(request); })
{
}

void Store::setOnCommit(OnCommit hook)
{
    std::lock_guard lock(m_mutex);
    m_onCommit = std::move(hook);
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    ++m_version;
    apply({ table, "", key }, value.empty() ? std::nullopt : std::optional(value), m_version);
    m_changed.notify_all();
}

std::optional<std::string> Store::get(const std::string& table, const std::string& key)
{
    std::lock_guard lock(m_mutex);
    auto found = m_rows.find({ table, "", key });
    return found == m_rows.end() ? std::nullopt : std::optional(found->second.value);
}

void Store::end()
{
    {
        std::lock_guard lock(m_mutex);
        m_isEnding = true;
        m_changed.notify_all();
    }
    m_server.stop();
}

// The caller holds the mutex.
void Store::apply(const Name& name, std::optional<std::string> value, std::int64_t version)
{
    if (value)
        m_rows[name] = { *value, version };
    else if (m_rows.erase(name) == 0)
        return;
    m_events.push_back({ version, name, std::move(value) });
}

HttpResponse Store::reply(int status, Json body) const
{
    body["row-version"] = m_version;
    body["now-ms"] = std::chrono::duration_cast<Millis>(Clock::now().time_since_epoch()).count();
    return { status, body.dump(), false };
}

HttpResponse Store::answer(const HttpRequest& request)
{
    auto response = [&]() -> HttpResponse {
        if (request.path == "/api/rows-tx")
            return commit(request);
        if (request.path == "/api/rows-get")
            return read(request);
        if (request.path == "/api/rows-parts")
            return listParts(request);
        if (request.path == "/api/rows-feed")
            return feed(request);
        return { 404, "{}", false };
    }();
    sleepFor(answerTime);
    return response;
}

HttpResponse Store::commit(const HttpRequest& request)
{
    auto order = Json::parse(request.body, nullptr, false);
    if (!order.is_object())
        return { 400, "{}", false };
    std::lock_guard writer(m_writer);
    sleepFor(transactionTime);
    std::lock_guard lock(m_mutex);
    auto current = Json::array();
    auto holds = true;
    for (const auto& each : order.value("expected-rev", Json::array())) {
        auto name = nameOf(each);
        auto found = m_rows.find(name);
        auto version = found == m_rows.end() ? 0 : found->second.version;
        holds &= version == each.at("row-version").get<std::int64_t>();
        if (found == m_rows.end())
            continue;
        auto row = nameJson(name);
        row["value"] = toBase64(found->second.value);
        row["row-version"] = version;
        current.push_back(std::move(row));
    }
    if (!holds)
        return reply(412, { { "rows", current } });
    ++m_version;
    std::vector<Change> changes;
    for (const auto& each : order.value("set-keys", Json::array())) {
        auto name = nameOf(each);
        if (name.table == "op" || name.table == "servers")
            return { 403, "{}", false };
        apply(name, fromBase64(each.at("value")), m_version);
        changes.push_back({ name, false });
    }
    for (const auto& each : order.value("remove", Json::array())) {
        auto name = nameOf(each);
        apply(name, std::nullopt, m_version);
        changes.push_back({ name, true });
    }
    m_changed.notify_all();
    if (m_onCommit)
        m_onCommit(changes);
    return reply(200, Json::object());
}

HttpResponse Store::read(const HttpRequest& request)
{
    std::lock_guard lock(m_mutex);
    auto table = queryOf(request, "table");
    auto part = queryOf(request, "part");
    auto target = queryOf(request, "target");
    auto limit = std::min(numberOf(request, "limit", maxPageRows), maxPageRows);
    auto rows = Json::array();
    auto hasMore = false;
    for (auto each = m_rows.lower_bound({ table, part, queryOf(request, "from") });
         each != m_rows.end() && each->first.table == table && each->first.part == part; ++each) {
        if (!target.empty() && each->first.key >= target)
            break;
        if (std::int64_t(rows.size()) == limit) {
            hasMore = true;
            break;
        }
        auto row = nameJson(each->first);
        row["value"] = toBase64(each->second.value);
        row["row-version"] = each->second.version;
        rows.push_back(std::move(row));
    }
    return reply(200, { { "rows", rows }, { "has-more", hasMore } });
}

HttpResponse Store::listParts(const HttpRequest& request)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> parts;
    for (const auto& [name, row] : m_rows)
        if (name.table == queryOf(request, "table") && name.part > queryOf(request, "after")
            && (parts.empty() || parts.back() != name.part))
            parts.push_back(name.part);
    return reply(200, { { "parts", parts }, { "has-more", false } });
}

HttpResponse Store::feed(const HttpRequest& request)
{
    std::unique_lock lock(m_mutex);
    auto table = queryOf(request, "table");
    auto after = numberOf(request, "after", 0);
    auto until = Clock::now() + Millis(numberOf(request, "wait-ms", 0));
    auto rows = Json::array();
    auto collect = [&] {
        auto first = std::upper_bound(m_events.begin(), m_events.end(), after,
            [](std::int64_t version, const Event& event) { return version < event.version; });
        for (auto each = first; each != m_events.end(); ++each) {
            if (each->name.table != table)
                continue;
            auto row = nameJson(each->name);
            row["row-version"] = each->version;
            if (each->value)
                row["value"] = toBase64(*each->value);
            else
                row["removed"] = true;
            rows.push_back(std::move(row));
        }
        return !rows.empty() || m_isEnding;
    };
    while (!collect())
        if (m_changed.wait_until(lock, until) == std::cv_status::timeout) {
            collect();
            break;
        }
    return reply(200, { { "rows", rows } });
}

} // namespace fulmar::review2
