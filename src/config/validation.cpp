#include "config/validation.h"

#include "config/version_eras.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <optional>
#include <set>

namespace fulmar {

namespace {

// The rows as they would be after the change, and the errors found in them.
class ChangeValidator {
public:
    ChangeValidator(const std::map<std::string, Row>& currentRows, const std::vector<Write>& change)
    {
        for (const auto& [key, row] : currentRows)
            if (!row.deleted)
                m_values[key] = row.value;
        for (const auto& write : change)
            take(write);
    }

    Result<void> validate()
    {
        for (const auto& key : m_changedKeys)
            checkRow(key);
        checkServices();
        checkJobs();
        checkVms();
        checkSpare();
        if (!m_problems.empty())
            return notRun(Reason::BadInput, fmt::format("{}", fmt::join(m_problems, "; ")));
        return {};
    }

private:
    void take(const Write& write)
    {
        if (!m_changedKeys.insert(write.key).second)
            m_problems.push_back(fmt::format("{} is written twice", write.key));
        if (!write.deletes)
            m_values[write.key] = write.value;
        else if (m_values.erase(write.key) == 0)
            m_problems.push_back(fmt::format("{} is to be deleted but does not exist", write.key));
    }

    void checkRow(const std::string& key)
    {
        if (key.starts_with(keys::vmPrefix))
            m_problems.push_back(fmt::format("{} can be changed by commands only", key));
        else if (key.starts_with(keys::servicePrefix))
            checkConfigRow<ServiceConfig>(key, keys::servicePrefix, &ServiceConfig::service);
        else if (key.starts_with(keys::poolPrefix))
            checkConfigRow<PoolConfig>(key, keys::poolPrefix, &PoolConfig::pool);
        else if (key.starts_with(keys::teamPrefix))
            checkConfigRow<TeamConfig>(key, keys::teamPrefix, &TeamConfig::team);
        else if (key.starts_with(keys::jobPrefix))
            checkConfigRow<JobConfig>(key, keys::jobPrefix, &JobConfig::job);
        else
            m_problems.push_back(fmt::format("{} is not a configuration key", key));
    }

    template <typename Config, typename Name>
    void checkConfigRow(const std::string& key, std::string_view prefix, Name Config::*name)
    {
        auto value = m_values.find(key);
        if (value == m_values.end())
            return;
        auto config = decode<Config>(value->second);
        if (!config)
            m_problems.push_back(fmt::format("{}: {}", key, config.error().detail));
        else if (((*config).*name).value() != key.substr(prefix.size()))
            m_problems.push_back(
                fmt::format("{}: name is {}, which does not match the key", key, ((*config).*name).value()));
    }

    // Calls `check` for each row under the prefix that decodes.
    template <typename Config, typename Check> void forEach(std::string_view prefix, Check check) const
    {
        for (auto row = m_values.lower_bound(std::string(prefix));
             row != m_values.end() && row->first.starts_with(prefix); ++row)
            if (auto config = decode<Config>(row->second))
                check(row->first, *config);
    }

    // Checks only references with at least one end in the change.
    void checkReference(const std::string& from, std::string_view prefix, const std::string& name)
    {
        auto to = std::string(prefix) + name;
        if (!m_values.contains(to) && (m_changedKeys.contains(from) || m_changedKeys.contains(to)))
            m_problems.push_back(fmt::format("{} refers to {}, which does not exist", from, to));
    }

    void checkServices()
    {
        forEach<ServiceConfig>(
            keys::servicePrefix, [&](const std::string& key, const ServiceConfig& service) {
                checkReference(key, keys::poolPrefix, service.pool.value());
            });
    }

    void checkJobs()
    {
        forEach<JobConfig>(keys::jobPrefix, [&](const std::string& key, const JobConfig& job) {
            checkReference(key, keys::poolPrefix, job.pool.value());
            checkReference(key, keys::teamPrefix, job.team.value());
        });
    }

    void checkVms()
    {
        forEach<VmRecord>(keys::vmPrefix, [&](const std::string& key, const VmRecord& vm) {
            checkReference(key, keys::poolPrefix, vm.pool.value());
        });
    }

    void checkSpare()
    {
        std::vector<std::string> spares;
        forEach<PoolConfig>(keys::poolPrefix, [&](const std::string&, const PoolConfig& pool) {
            if (pool.isSpare)
                spares.push_back(pool.pool.value());
        });
        if (spares.size() > 1)
            m_problems.push_back(fmt::format("only one pool can be the spare: {}", fmt::join(spares, ", ")));
    }

    std::map<std::string, std::string> m_values;
    std::set<std::string> m_changedKeys;
    std::vector<std::string> m_problems;
};

} // namespace

Result<void> validateChange(const std::map<std::string, Row>& currentRows, const std::vector<Write>& change)
{
    return ChangeValidator(currentRows, change).validate();
}

} // namespace fulmar
