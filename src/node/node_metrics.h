#pragma once

#include "core/clock.h"

#include <memory>
#include <string>

namespace fulmar::node {

// A node's metrics; docs/OPERATIONS.md lists their names. Used by the loop's thread only.
class NodeMetrics {
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics&) = delete;
    NodeMetrics& operator=(const NodeMetrics&) = delete;

    // Counts an answer to a caller by kind of call ("none" if no holder was asked) and HTTP status, and
    // records its latency.
    void countAnswer(const std::string& kind, int status, Duration took);
    // Counts a refused call by reason.
    void countRefusal(const std::string& reason);
    // Counts an admission decision on a submitted job. `share`: "within" or "beyond" its team's share, or
    // "none" if that was not decided.
    void countAdmission(const std::string& verdict, const std::string& share);
    // Counts an order to a runner ("start", "stop", "look") by outcome.
    void countOrder(const std::string& order, const std::string& outcome);
    // Counts a transaction of a shard's row log by outcome.
    void countCommit(const std::string& outcome);
    // Counts a transaction on the shares of the teams' limits by outcome.
    void countQuotaWrite(const std::string& outcome);
    // Counts a row that the store refuses while it stores others, by table.
    void countRefusedRow(const std::string& table);
    // Counts a submission through the store by verdict ("not-taken" if too many waited).
    void countStoreSubmission(const std::string& verdict);
    // Counts bursts that were expected, by whether they came.
    void countExpectedBursts(const std::string& outcome, std::uint64_t count);
    // Counts a connection that is closed, or refused, before its request was handled.
    void countClosedClient(const std::string& reason);
    // Bytes held for callers, and the budget for them.
    void setClientMemory(std::size_t held, std::size_t budget);
    void setShardsHeld(std::size_t);
    // `age`: time since the store last confirmed that it has no newer version.
    void setConfig(std::int64_t version, std::chrono::milliseconds age);
    // Runners and jobs known to the shards held by this node.
    void setFleet(std::size_t runners, std::size_t jobs);
    // Jobs of which a task could run and none does, and for how long at most.
    void setStalledJobs(std::size_t jobs, std::chrono::milliseconds longest);

    // In Prometheus' text format.
    [[nodiscard]] std::string serialize() const;

private:
    class Families;
    std::unique_ptr<Families> m_families;
};

} // namespace fulmar::node
