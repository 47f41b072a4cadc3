#pragma once

#include "core/clock.h"

#include <memory>
#include <string>

namespace fulmar::node {

// What a node counts and measures; names are in docs/OPERATIONS.md. Used by the loop's thread only.
class NodeMetrics {
public:
    NodeMetrics();
    ~NodeMetrics();
    NodeMetrics(const NodeMetrics&) = delete;
    NodeMetrics& operator=(const NodeMetrics&) = delete;

    // An answer to a caller, by the kind of call and HTTP status.
    void countAnswer(const std::string& kind, int status, Duration took);
    // A decision on a submitted job.
    void countAdmission(const std::string& verdict);
    // An order to a runner ("start", "stop", "look") by its outcome.
    void countOrder(const std::string& order, const std::string& outcome);
    // A transaction of the shard's log by its outcome.
    void countCommit(const std::string& outcome);
    void setShardsHeld(std::size_t);
    void setConfigVersion(std::int64_t);
    // Runners that answer, VMs known and jobs known to the shards held here.
    void setFleet(std::size_t runners, std::size_t jobs);

    // In Prometheus' text format.
    [[nodiscard]] std::string serialize() const;

private:
    class Families;
    std::unique_ptr<Families> m_families;
};

} // namespace fulmar::node
