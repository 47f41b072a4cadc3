#pragma once

#include "http.h"

#include <condition_variable>
#include <tuple>

namespace review {

// Stand-in for the platform's metadata store: transactions, reads and feeds over rows in memory.
class Store {
public:
    explicit Store(const std::string& ip);

    [[nodiscard]] std::string address() const { return m_server.address(); }
    // Writes by the operator and the runners, which the system cannot make.
    void put(const std::string& table, const std::string& key, const Json& value);
    void remove(const std::string& table, const std::string& key);
    // The value of a row with an empty part; null if there is none.
    [[nodiscard]] Json read(const std::string& table, const std::string& key);

private:
    using Name = std::tuple<std::string, std::string, std::string>;
    struct Row {
        // Base64.
        std::string value;
        std::int64_t version { 0 };
        bool isRemoved { false };
    };

    HttpResponse answer(const HttpRequest&);
    HttpResponse commit(const Json& transaction);
    HttpResponse get(const HttpRequest&);
    HttpResponse feed(const HttpRequest&);
    HttpResponse parts(const HttpRequest&);
    void change(const Name&, const std::optional<std::string>& value, std::int64_t version);
    [[nodiscard]] Json toJson(const Name&, const Row&) const;
    [[nodiscard]] Json page() const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Name, Row> m_rows;
    std::map<std::int64_t, std::vector<Name>> m_history;
    std::int64_t m_version { 1 };
    const Clock::time_point m_started { Clock::now() };
    HttpServer m_server;
};

std::string encodeBase64(const std::string&);
std::string decodeBase64(const std::string&);

} // namespace review
