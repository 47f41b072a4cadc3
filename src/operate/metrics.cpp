#include "operate/metrics.h"

#include <cassert>
#include <fstream>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sys/resource.h>
#include <unistd.h>

namespace fulmar::operate {

namespace {

constexpr std::size_t maxLabelValues = 512;

struct Description {
    const char* name;
    const char* help;
    // Name of the label; empty if the metric has none.
    const char* label;
    bool isCounter;
};

constexpr std::array<Description, metricCount> descriptions { {
    { "fulmar_buffer_cost_vm_seconds_total", "Capacity held back to absorb bursts.", "pool", true },
    { "fulmar_roll_out_seconds", "Run time of the newest wave or change.", "what", false },
    { "fulmar_moves_total", "VMs that changed pool.", "pool", true },
    { "fulmar_budget_spent_vms", "Unavailable VMs of a pool.", "pool", false },
    { "fulmar_budget_allowed_vms", "VMs of a pool that may be unavailable.", "pool", false },
    { "fulmar_calls_total", "Calls by outcome.", "outcome", true },
    { "fulmar_refusals_total", "Refused calls by reason.", "reason", true },
    { "fulmar_late_answers_total", "Answers after the caller's deadline.", "", true },
    { "fulmar_queue_age_seconds", "Age of the oldest waiting call.", "service", false },
    { "fulmar_retries_total", "Calls sent again to another target.", "", true },
    { "fulmar_leases_held", "Leases held by this process.", "duty", false },
    { "fulmar_configuration_age_seconds", "Time since the configuration was known to be the newest.", "",
        false },
    { "fulmar_configuration_version", "Version of the configuration in force.", "", false },
    { "fulmar_store_calls_total", "Calls of the platform's store.", "call", true },
    { "fulmar_commands_total", "Commands of operators by final state.", "state", true },
    { "fulmar_processor_seconds_total", "Processor time of this process.", "", true },
    { "fulmar_resident_bytes", "Resident memory of this process.", "", false },
    { "fulmar_sent_bytes_total", "Bytes sent to peers, platform and operators.", "to", true },
    { "fulmar_received_bytes_total", "Bytes received from peers, platform and operators.", "from", true },
} };

const Description& describe(Metric metric) { return descriptions.at(std::size_t(metric)); }

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto seconds = [](const timeval& time) { return double(time.tv_sec) + double(time.tv_usec) / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double totalPages = 0;
    double residentPages = 0;
    statm >> totalPages >> residentPages;
    return residentPages * double(sysconf(_SC_PAGESIZE));
}

} // namespace

std::string_view metricName(Metric metric) { return describe(metric).name; }

class MetricsRegistry::Store {
public:
    Store()
    {
        for (std::size_t i = 0; i < metricCount; ++i) {
            const auto& [name, help, label, isCounter] = descriptions.at(i);
            if (isCounter)
                m_counters[i] = &prometheus::BuildCounter().Name(name).Help(help).Register(m_registry);
            else
                m_gauges[i] = &prometheus::BuildGauge().Name(name).Help(help).Register(m_registry);
        }
    }

    void add(Metric metric, double amount, const std::string& label)
    {
        assert(describe(metric).isCounter && amount >= 0);
        std::lock_guard lock(m_mutex);
        m_counters.at(std::size_t(metric))->Add(labels(metric, label)).Increment(amount);
    }

    void follow(Metric metric, double total, const std::string& label)
    {
        assert(describe(metric).isCounter);
        std::lock_guard lock(m_mutex);
        auto& counter = m_counters.at(std::size_t(metric))->Add(labels(metric, label));
        if (total > counter.Value())
            counter.Increment(total - counter.Value());
    }

    void set(Metric metric, double value, const std::string& label)
    {
        assert(!describe(metric).isCounter);
        std::lock_guard lock(m_mutex);
        m_gauges.at(std::size_t(metric))->Add(labels(metric, label)).Set(value);
    }

    // The counter follows the kernel's own count.
    void updateProcessUsage()
    {
        std::lock_guard lock(m_mutex);
        auto& spent = m_counters.at(std::size_t(Metric::ProcessorSeconds))->Add({});
        auto growth = processorSeconds() - spent.Value();
        if (growth > 0)
            spent.Increment(growth);
        m_gauges.at(std::size_t(Metric::ResidentBytes))->Add({}).Set(residentBytes());
    }

    [[nodiscard]] std::string serialize() const
    {
        return prometheus::TextSerializer().Serialize(m_registry.Collect());
    }

private:
    prometheus::Labels labels(Metric metric, const std::string& value)
    {
        std::string name = describe(metric).label;
        assert(name.empty() == value.empty());
        if (name.empty())
            return {};
        auto& known = m_labelValues.at(std::size_t(metric));
        if (known.size() < maxLabelValues)
            known.insert(value);
        return { { name, known.contains(value) ? value : "other" } };
    }

    std::mutex m_mutex;
    prometheus::Registry m_registry;
    std::array<prometheus::Family<prometheus::Counter>*, metricCount> m_counters {};
    std::array<prometheus::Family<prometheus::Gauge>*, metricCount> m_gauges {};
    std::array<std::set<std::string>, metricCount> m_labelValues;
};

MetricsRegistry::MetricsRegistry()
    : m_store(std::make_unique<Store>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::add(Metric metric, double amount, const std::string& label)
{
    m_store->add(metric, amount, label);
}

void MetricsRegistry::follow(Metric metric, double total, const std::string& label)
{
    m_store->follow(metric, total, label);
}

void MetricsRegistry::set(Metric metric, double value, const std::string& label)
{
    m_store->set(metric, value, label);
}

void MetricsRegistry::updateProcessUsage() { m_store->updateProcessUsage(); }

std::string MetricsRegistry::serialize() const { return m_store->serialize(); }

} // namespace fulmar::operate
