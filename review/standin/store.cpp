#include "store.h"

namespace review {

namespace {

constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t maxEntries = 100;
constexpr std::size_t maxTransactionBytes = 1'000'000;
constexpr std::size_t maxRowBytes = 65'536;
constexpr std::size_t maxRows = 500;
constexpr std::size_t maxPageBytes = 1'000'000;
constexpr Millis transactionTime { 8 };
constexpr Millis readTime { 4 };

std::string parameter(const HttpRequest& request, const std::string& name)
{
    auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
}

std::int64_t numberOf(const HttpRequest& request, const std::string& name, std::int64_t fallback)
{
    auto text = parameter(request, name);
    return text.empty() ? fallback : std::stoll(text);
}

} // namespace

std::string encodeBase64(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < text.size() ? std::uint8_t(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            result += i + j > text.size() ? '=' : digits[value >> (18 - 6 * j) & 63];
    }
    return result;
}

std::string decodeBase64(const std::string& text)
{
    std::string result;
    std::uint32_t value = 0;
    int bits = 0;
    for (char c : text) {
        auto digit = digits.find(c);
        if (digit == std::string_view::npos)
            break;
        value = value << 6 | std::uint32_t(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            result += char(value >> bits & 255);
        }
    }
    return result;
}

Store::Store(const std::string& ip)
    : m_server(ip, 0, [this](const HttpRequest& request) { return answer(request); })
{
}

HttpResponse Store::answer(const HttpRequest& request)
{
    if (request.path == "/api/rows-tx") {
        std::this_thread::sleep_for(transactionTime);
        auto body = Json::parse(request.body, nullptr, false);
        return body.is_object() && request.body.size() <= maxTransactionBytes ? commit(body)
                                                                              : jsonResponse(400, {});
    }
    std::this_thread::sleep_for(readTime);
    if (request.path == "/api/rows-get")
        return get(request);
    if (request.path == "/api/rows-feed")
        return feed(request);
    if (request.path == "/api/rows-parts")
        return parts(request);
    return jsonResponse(404, Json::object());
}

Json Store::toJson(const Name& name, const Row& row) const
{
    const auto& [table, part, key] = name;
    Json json { { "table", table }, { "part", part }, { "key", key }, { "row-version", row.version } };
    if (row.isRemoved)
        json["removed"] = true;
    else
        json["value"] = row.value;
    return json;
}

Json Store::page() const
{
    auto now = std::chrono::duration_cast<Millis>(Clock::now() - m_started).count();
    return { { "row-version", m_version }, { "now-ms", now }, { "rows", Json::array() } };
}

void Store::change(const Name& name, const std::optional<std::string>& value, std::int64_t version)
{
    auto& row = m_rows[name];
    row.isRemoved = !value;
    row.value = value.value_or("");
    row.version = version;
    m_history[version].push_back(name);
}

HttpResponse Store::commit(const Json& transaction)
{
    auto nameOf = [](const Json& entry) {
        return Name { entry.at("table"), entry.value("part", ""), entry.at("key") };
    };
    std::lock_guard lock(m_mutex);
    auto conditions = transaction.value("expected-rev", Json::array());
    auto puts = transaction.value("set-keys", Json::array());
    auto removals = transaction.value("remove", Json::array());
    if (conditions.size() + puts.size() + removals.size() > maxEntries)
        return jsonResponse(400, Json::object());
    std::set<std::string> parts;
    for (const auto* list : { &conditions, &puts, &removals })
        for (const auto& entry : *list) {
            auto [table, part, key] = nameOf(entry);
            parts.insert(part);
            if (list != &conditions && (table == "op" || table == "servers"))
                return jsonResponse(403, Json::object());
        }
    for (const auto& entry : puts)
        if (decodeBase64(entry.at("value").get<std::string>()).size() > maxRowBytes)
            return jsonResponse(400, Json::object());
    if (parts.size() > 1)
        return jsonResponse(400, Json::object());
    auto body = page();
    auto holds = true;
    for (const auto& entry : conditions) {
        auto found = m_rows.find(nameOf(entry));
        auto exists = found != m_rows.end() && !found->second.isRemoved;
        holds &= entry.at("row-version").get<std::int64_t>() == (exists ? found->second.version : 0);
        if (exists)
            body["rows"].push_back(toJson(found->first, found->second));
    }
    if (!holds)
        return jsonResponse(412, body);
    ++m_version;
    for (const auto& entry : puts)
        change(nameOf(entry), entry.at("value").get<std::string>(), m_version);
    for (const auto& entry : removals)
        if (auto found = m_rows.find(nameOf(entry)); found != m_rows.end() && !found->second.isRemoved)
            change(nameOf(entry), std::nullopt, m_version);
    m_changed.notify_all();
    return jsonResponse(200, page());
}

HttpResponse Store::get(const HttpRequest& request)
{
    std::lock_guard lock(m_mutex);
    auto table = parameter(request, "table");
    auto part = parameter(request, "part");
    auto limit = std::min(std::size_t(numberOf(request, "limit", maxRows)), maxRows);
    auto target = parameter(request, "target");
    auto body = page();
    body["has-more"] = false;
    std::size_t bytes = 0;
    for (auto each = m_rows.lower_bound({ table, part, parameter(request, "from") }); each != m_rows.end();
         ++each) {
        const auto& [rowTable, rowPart, key] = each->first;
        if (rowTable != table || rowPart != part || (!target.empty() && key >= target))
            break;
        if (each->second.isRemoved)
            continue;
        bytes += each->second.value.size();
        if (body["rows"].size() == limit || bytes > maxPageBytes) {
            body["has-more"] = true;
            break;
        }
        body["rows"].push_back(toJson(each->first, each->second));
    }
    return jsonResponse(200, body);
}

HttpResponse Store::feed(const HttpRequest& request)
{
    std::unique_lock lock(m_mutex);
    auto table = parameter(request, "table");
    auto after = numberOf(request, "after", 0);
    auto rows = Json::array();
    auto collect = [&] {
        std::set<Name> seen;
        for (auto each = m_history.upper_bound(after); each != m_history.end(); ++each)
            for (const auto& name : each->second) {
                const auto& row = m_rows[name];
                if (std::get<0>(name) == table && row.version == each->first && seen.insert(name).second)
                    rows.push_back(toJson(name, row));
            }
        return !rows.empty();
    };
    m_changed.wait_for(lock, Millis(numberOf(request, "wait-ms", 0)), collect);
    auto body = page();
    body["rows"] = std::move(rows);
    return jsonResponse(200, body);
}

HttpResponse Store::parts(const HttpRequest& request)
{
    std::lock_guard lock(m_mutex);
    std::set<std::string> parts;
    for (const auto& [name, row] : m_rows)
        if (std::get<0>(name) == parameter(request, "table") && !row.isRemoved
            && std::get<1>(name) > parameter(request, "after"))
            parts.insert(std::get<1>(name));
    return jsonResponse(200, { { "parts", parts }, { "has-more", false } });
}

void Store::put(const std::string& table, const std::string& key, const Json& value)
{
    std::lock_guard lock(m_mutex);
    change({ table, "", key }, encodeBase64(value.dump()), ++m_version);
    m_changed.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    std::lock_guard lock(m_mutex);
    change({ table, "", key }, std::nullopt, ++m_version);
    m_changed.notify_all();
}

Json Store::read(const std::string& table, const std::string& key)
{
    std::lock_guard lock(m_mutex);
    auto found = m_rows.find({ table, "", key });
    if (found == m_rows.end() || found->second.isRemoved)
        return nullptr;
    return Json::parse(decodeBase64(found->second.value), nullptr, false);
}

} // namespace review
