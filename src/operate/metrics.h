#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fulmar::operate {

// What a process measures of itself. Names and meanings are in docs/OPERATIONS.md.
enum class Metric : std::uint8_t {
    // Capacity held back to absorb bursts, in VM-seconds, by pool.
    BufferCost,
    // Run time of a maintenance wave or change, in seconds, by wave or "configuration".
    RollOutTime,
    // VMs that changed pool, by the pool that got them.
    Moves,
    // Unavailable VMs and those allowed, by pool.
    BudgetSpent,
    BudgetAllowed,
    // Calls by outcome ("ran", "not-run", "may-have-run"), refusals by reason, and answers after the
    // deadline.
    Calls,
    Refusals,
    LateAnswers,
    // Age of the oldest waiting call in seconds, by service.
    QueueAge,
    Retries,
    // Leases held, by duty.
    LeasesHeld,
    // Seconds since the configuration was last known to be the newest, and its version.
    ConfigurationAge,
    ConfigurationVersion,
    // Calls of the platform's store: "read", "write" or "failed".
    StoreCalls,
    // Commands of operators, by final state.
    Commands,
    // This process's own spend.
    ProcessorSeconds,
    ResidentBytes,
    BytesSent,
    BytesReceived,
};

inline constexpr std::size_t metricCount = std::size_t(Metric::BytesReceived) + 1;

// "fulmar_moves_total" and the like.
[[nodiscard]] std::string_view metricName(Metric);

// The process's metrics. Thread-safe; the number of label values is bounded for each metric, further ones are
// counted as "other".
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    // Adds to a counter. The label is the value of the metric's one label; empty where it has none.
    void add(Metric, double amount, const std::string& label = {});
    // Raises a counter to a total that is counted elsewhere.
    void follow(Metric, double total, const std::string& label = {});
    // Sets a gauge.
    void set(Metric, double value, const std::string& label = {});
    // Reads this process's processor time and memory.
    void updateProcessUsage();

    // All metrics in Prometheus' text format.
    [[nodiscard]] std::string serialize() const;

private:
    class Store;
    std::unique_ptr<Store> m_store;
};

} // namespace fulmar::operate
