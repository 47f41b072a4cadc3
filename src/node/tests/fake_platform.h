#pragma once

#include "core/types.h"
#include "http_host.h"
#include "platform/wire_json.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <tuple>
#include <vector>

namespace fulmar::node::test {

// What becomes of a transaction.
enum class TransactionFate : std::uint8_t {
    Committed,
    // Nothing is written.
    Refused,
    Unavailable,
    Dropped,
    // It is written.
    AnswerLost,
};

// The platform's store and VM interface on a loopback address, served by a thread of its own. Conditions of
// transactions are checked on request only.
class FakePlatform {
public:
    using RowName = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value;
        Version version { 0 };

        bool operator==(const Row&) const = default;
    };
    using Rows = std::map<RowName, Row>;
    // Called from the thread of the platform with the rows that a transaction writes or removes.
    using DecideFate = std::function<TransactionFate(const std::vector<RowName>&)>;

    explicit FakePlatform(std::chrono::milliseconds maintenanceTime = {});
    ~FakePlatform();
    FakePlatform(const FakePlatform&) = delete;
    FakePlatform& operator=(const FakePlatform&) = delete;

    [[nodiscard]] const std::string& address() const { return m_address; }
    // As address(), but rows that are read there have this text instead of hide()'s, so that their reader
    // cannot reach a process whose address they tell.
    [[nodiscard]] const std::string& cutOffAddress() const { return m_cutOffAddress; }
    void hide(std::string text, std::string replacement);
    // A free "host:port".
    [[nodiscard]] static std::string freeAddress();

    void put(const std::string& table, const std::string& part, const std::string& key, std::string value);
    [[nodiscard]] Rows rows();
    void setRows(Rows);
    void checkConditions() { m_areConditionsChecked = true; }
    void setFate(DecideFate);
    void setCommitTime(std::chrono::milliseconds time) { m_commitTime = time; }
    // The rows after each transaction that was written.
    [[nodiscard]] std::vector<Rows> history();
    // Transactions get no answer any more.
    void silenceTransactions() { m_areTransactionsSilent = true; }
    // Transactions with a larger value are refused.
    void limitRows(std::size_t maxBytes) { m_maxRowBytes = maxBytes; }
    [[nodiscard]] std::string value(
        const std::string& table, const std::string& part, const std::string& key);

    // `runner`: of the VM, as the list shows it.
    void addVm(const VmId&, const PoolId&, std::string runner = {});
    // The VM is down, and the list shows no runner of it.
    void setVmDown(const VmId&, bool isDown);
    void setVmListed(const VmId&, bool isListed);
    // The VM's maintenance was carried out earlier; further orders are accepted and do nothing.
    void setMaintained(const VmId&);
    // Orders for VMs are neither carried out nor answered any more.
    void silenceVmOrders() { m_areVmOrdersSilent = true; }
    // Answers with the list of VMs.
    [[nodiscard]] std::size_t listCount() const { return m_lists; }
    [[nodiscard]] std::size_t maintainedCount();
    // Most VMs that were in maintenance at the same time.
    [[nodiscard]] std::size_t maxInMaintenance();

private:
    struct Vm {
        PoolId pool;
        std::string runner;
        bool isDown { false };
        bool isListed { true };
        bool isMaintained { false };
        std::chrono::steady_clock::time_point downUntil;
    };

    standin::HttpReply answer(const standin::HttpRequest&);
    standin::HttpReply answerCutOff(const standin::HttpRequest&);
    standin::HttpReply commit(const std::string& body);
    [[nodiscard]] bool areMet(const platform::Json& conditions) const;
    // The rows named by the conditions that exist.
    [[nodiscard]] platform::Json currentRows(const platform::Json& conditions) const;
    [[nodiscard]] static platform::Json rowJson(const Rows::value_type&);
    standin::HttpReply read(const standin::HttpRequest&, bool isFeed);
    standin::HttpReply listVms();
    standin::HttpReply move(const std::string& body);
    standin::HttpReply maintain(const std::string& body);

    const std::chrono::milliseconds m_maintenanceTime;
    std::mutex m_mutex;
    Rows m_rows;
    Version m_version { 1 };
    std::vector<Rows> m_history;
    DecideFate m_decideFate;
    std::atomic<bool> m_areConditionsChecked { false };
    std::atomic<std::chrono::milliseconds> m_commitTime { std::chrono::milliseconds(0) };
    std::atomic<bool> m_areTransactionsSilent { false };
    std::atomic<std::size_t> m_maxRowBytes { 65'536 };
    std::atomic<bool> m_areVmOrdersSilent { false };
    std::atomic<std::size_t> m_lists { 0 };
    std::map<VmId, Vm> m_vms;
    std::size_t m_maxInMaintenance { 0 };
    standin::HttpHost m_host;
    std::string m_address;
    std::string m_cutOffAddress;
    std::pair<std::string, std::string> m_hidden;
    std::thread m_thread;
};

} // namespace fulmar::node::test
