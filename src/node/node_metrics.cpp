#include "node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fulmar::node {

namespace {

// Seconds; callers wait 3 s at most, and an answer normally takes a few milliseconds.
const prometheus::Histogram::BucketBoundaries answerBounds { 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2,
    3 };

} // namespace

class NodeMetrics::Families {
public:
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& answers {
        prometheus::BuildCounter()
            .Name("fulmar_answers_total")
            .Help("Answers to callers by kind of call and status")
            .Register(registry)
    };
    prometheus::Family<prometheus::Histogram>& answerTimes { prometheus::BuildHistogram()
                                                                 .Name("fulmar_answer_seconds")
                                                                 .Help("Time from a call to its answer")
                                                                 .Register(registry) };
    prometheus::Family<prometheus::Counter>& refusals { prometheus::BuildCounter()
                                                            .Name("fulmar_refusals_total")
                                                            .Help("Refused calls by reason")
                                                            .Register(registry) };
    prometheus::Family<prometheus::Counter>& admissions {
        prometheus::BuildCounter()
            .Name("fulmar_admissions_total")
            .Help("Decisions on submitted jobs by verdict and team's share")
            .Register(registry)
    };
    prometheus::Family<prometheus::Counter>& orders { prometheus::BuildCounter()
                                                          .Name("fulmar_runner_orders_total")
                                                          .Help("Orders to runners by kind and outcome")
                                                          .Register(registry) };
    prometheus::Family<prometheus::Counter>& commits { prometheus::BuildCounter()
                                                           .Name("fulmar_store_commits_total")
                                                           .Help(
                                                               "Transactions of the shards' logs by outcome")
                                                           .Register(registry) };
    prometheus::Family<prometheus::Counter>& quotaWrites { prometheus::BuildCounter()
                                                               .Name("fulmar_team_limit_commits_total")
                                                               .Help("Transactions on team limits by outcome")
                                                               .Register(registry) };
    prometheus::Family<prometheus::Counter>& refusedRows { prometheus::BuildCounter()
                                                               .Name("fulmar_store_refused_rows_total")
                                                               .Help("Rows that the store refuses, by table")
                                                               .Register(registry) };
    prometheus::Family<prometheus::Counter>& storeSubmissions {
        prometheus::BuildCounter()
            .Name("fulmar_store_submissions_total")
            .Help("Submissions through the store by verdict")
            .Register(registry)
    };
    prometheus::Family<prometheus::Counter>& expectedBursts {
        prometheus::BuildCounter()
            .Name("fulmar_expected_bursts_total")
            .Help("Bursts for which VMs were to be ordered ahead, by whether they came")
            .Register(registry)
    };
    prometheus::Family<prometheus::Counter>& closedClients {
        prometheus::BuildCounter()
            .Name("fulmar_closed_clients_total")
            .Help("Connections closed before their request was handled, by reason")
            .Register(registry)
    };
    prometheus::Family<prometheus::Gauge>& gauges {
        prometheus::BuildGauge().Name("fulmar_node").Help("State of this node").Register(registry)
    };
};

NodeMetrics::NodeMetrics()
    : m_families(std::make_unique<Families>())
{
}

NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::countAnswer(const std::string& kind, int status, Duration took)
{
    m_families->answers.Add({ { "kind", kind }, { "status", std::to_string(status) } }).Increment();
    m_families->answerTimes.Add({ { "kind", kind } }, answerBounds)
        .Observe(std::chrono::duration<double>(took).count());
}

void NodeMetrics::countRefusal(const std::string& reason)
{
    m_families->refusals.Add({ { "reason", reason } }).Increment();
}

void NodeMetrics::countAdmission(const std::string& verdict, const std::string& share)
{
    m_families->admissions.Add({ { "verdict", verdict }, { "share", share } }).Increment();
}

void NodeMetrics::countOrder(const std::string& order, const std::string& outcome)
{
    m_families->orders.Add({ { "order", order }, { "outcome", outcome } }).Increment();
}

void NodeMetrics::countCommit(const std::string& outcome)
{
    m_families->commits.Add({ { "outcome", outcome } }).Increment();
}

void NodeMetrics::countQuotaWrite(const std::string& outcome)
{
    m_families->quotaWrites.Add({ { "outcome", outcome } }).Increment();
}

void NodeMetrics::countRefusedRow(const std::string& table)
{
    m_families->refusedRows.Add({ { "table", table } }).Increment();
}

void NodeMetrics::countStoreSubmission(const std::string& verdict)
{
    m_families->storeSubmissions.Add({ { "verdict", verdict } }).Increment();
}

void NodeMetrics::countExpectedBursts(const std::string& outcome, std::uint64_t count)
{
    if (count > 0)
        m_families->expectedBursts.Add({ { "outcome", outcome } }).Increment(double(count));
}

void NodeMetrics::countClosedClient(const std::string& reason)
{
    m_families->closedClients.Add({ { "reason", reason } }).Increment();
}

void NodeMetrics::setClientMemory(std::size_t held, std::size_t budget)
{
    m_families->gauges.Add({ { "what", "client_memory_bytes" } }).Set(double(held));
    m_families->gauges.Add({ { "what", "client_memory_budget_bytes" } }).Set(double(budget));
}

void NodeMetrics::setShardsHeld(std::size_t shards)
{
    m_families->gauges.Add({ { "what", "shards_held" } }).Set(double(shards));
}

void NodeMetrics::setConfig(std::int64_t version, std::chrono::milliseconds age)
{
    m_families->gauges.Add({ { "what", "config_version" } }).Set(double(version));
    m_families->gauges.Add({ { "what", "config_age_ms" } }).Set(double(age.count()));
}

void NodeMetrics::setFleet(std::size_t runners, std::size_t jobs)
{
    m_families->gauges.Add({ { "what", "runners" } }).Set(double(runners));
    m_families->gauges.Add({ { "what", "jobs" } }).Set(double(jobs));
}

void NodeMetrics::setStalledJobs(std::size_t jobs, std::chrono::milliseconds longest)
{
    m_families->gauges.Add({ { "what", "stalled_jobs" } }).Set(double(jobs));
    m_families->gauges.Add({ { "what", "stalled_ms" } }).Set(double(longest.count()));
}

std::string NodeMetrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace fulmar::node
