#include "node/queue_lookup.h"
#include "node/request_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace fulmar;
using namespace fulmar::node;
using namespace std::chrono_literals;

namespace {

constexpr auto host = "plans.example";
constexpr auto jobId = "5c0e7a21d94b36f8";

jobs::FleetConfig configWith(const std::vector<std::string>& prefixes)
{
    jobs::FleetConfig config;
    for (const auto& prefix : prefixes) {
        jobs::QueueConfig queue;
        queue.name = prefix;
        queue.host = host;
        queue.pathPrefix = prefix;
        config.queues.push_back(queue);
    }
    return config;
}

QueueVerdict verdictOn(const std::string& path, const ConfigAge& age)
{
    return lookUpQueue(configWith({ "/plans/" }), host, path, age).verdict;
}

constexpr ConfigAge recent { 1'500ms, 2s };
constexpr ConfigAge old { 6'400ms, 2s };

} // namespace

BOOST_AUTO_TEST_SUITE(queue_lookup)

BOOST_AUTO_TEST_CASE(ThePathNamesAQueueOrAJobOfIt)
{
    auto config = configWith({ "/plans/", "/plans/urgent/" });
    for (const auto& age : { recent, old }) {
        auto path = std::string("/plans/urgent/") + jobId;
        auto job = lookUpQueue(config, host, path, age);
        BOOST_REQUIRE((job.verdict == QueueVerdict::Found));
        BOOST_TEST(job.queue->name == "/plans/urgent/");
        BOOST_TEST(job.jobId == jobId);
        auto queue = lookUpQueue(config, host, "/plans/", age);
        BOOST_REQUIRE((queue.verdict == QueueVerdict::Found));
        BOOST_TEST(queue.jobId.empty());
    }
}

// Guards against a node without the store that denies a queue which was added meanwhile.
BOOST_AUTO_TEST_CASE(AConfigurationOlderThanTheApplyTimeDeniesNoQueue)
{
    auto path = std::string("/routes/") + jobId;
    BOOST_TEST((verdictOn(path, { 2'000ms, 2s }) == QueueVerdict::Unconfirmed));
    BOOST_TEST((verdictOn(path, { 6'400ms, 2s }) == QueueVerdict::Unconfirmed));
    BOOST_TEST((verdictOn(path, { 3'500ms, 3s }) == QueueVerdict::Unconfirmed));
}

// The same where the new queue's prefix extends that of a queue which the node knows.
BOOST_AUTO_TEST_CASE(AnOldConfigurationDeniesNoQueueBelowAKnownOne)
{
    auto path = std::string("/plans/urgent/") + jobId;
    BOOST_TEST((verdictOn(path, old) == QueueVerdict::Unconfirmed));
    BOOST_TEST((verdictOn(path, recent) == QueueVerdict::Denied));
}

// Without changes the store confirms the configuration once per poll.
BOOST_AUTO_TEST_CASE(AConfigurationConfirmedByTheLastPollDeniesQueues)
{
    for (auto applyTime : { 1'000ms, 2'000ms, 3'000ms, 4'000ms }) {
        ConfigAge age { feedWaitFor(applyTime) + 200ms, applyTime };
        BOOST_TEST((verdictOn("/routes/", age) == QueueVerdict::Denied));
    }
}

BOOST_AUTO_TEST_SUITE_END()
