#include "balancer.h"
#include "call_audit.h"

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

namespace {

using namespace fulmar;
using namespace fulmar::standin;

std::atomic<bool> stopRequested { false };

constexpr auto pauseBeforeResend = std::chrono::milliseconds(200);
constexpr auto healthInterval = std::chrono::milliseconds(500);
constexpr auto joinTimeout = std::chrono::milliseconds(10'000);

struct LoadOptions {
    std::vector<std::string> entries;
    std::vector<std::string> targets;
    std::vector<std::string> services;
    std::string run;
    int users { 16 };
    std::chrono::milliseconds duration { 5'000 };
    std::chrono::milliseconds think { 20 };
    std::chrono::milliseconds shortRun { 10 };
    std::chrono::milliseconds longRun { 400 };
    double longShare { 0.1 };
    double postShare { 0.5 };
    // Share of non-idempotent requests whose key an entry mints.
    double mintShare { 0.3 };
    std::chrono::milliseconds deadline { 5'000 };
    int maxAttempts { 3 };
};

LoadOptions parseOptions(int argc, char** argv)
{
    LoadOptions load;
    long duration = load.duration.count();
    long think = load.think.count();
    long shortRun = load.shortRun.count();
    long longRun = load.longRun.count();
    long deadline = load.deadline.count();
    cxxopts::Options options("standin_load", "Callers behind a balancer; checks what callers were promised.");
    auto add = options.add_options();
    add("entry", "host:port of an entry", cxxopts::value(load.entries));
    add("target", "host:port of a target, asked at the end for what it ran", cxxopts::value(load.targets));
    add("service", "service to call", cxxopts::value(load.services));
    add("run", "prefix of request ids", cxxopts::value(load.run)->default_value("load"));
    add("users", "concurrent callers", cxxopts::value(load.users));
    add("duration-ms", "time to run; SIGTERM ends it early", cxxopts::value(duration));
    add("think-ms", "mean pause of a caller between requests", cxxopts::value(think));
    add("short-ms", "run time of a short call", cxxopts::value(shortRun));
    add("long-ms", "run time of a long call", cxxopts::value(longRun));
    add("long-share", "share of long calls", cxxopts::value(load.longShare));
    add("post-share", "share of non-idempotent calls", cxxopts::value(load.postShare));
    add("mint-share", "share of non-idempotent calls under a key minted by an entry",
        cxxopts::value(load.mintShare));
    add("deadline-ms", "deadline of a call", cxxopts::value(deadline));
    add("attempts", "attempts of a request whose end is bad or unknown", cxxopts::value(load.maxAttempts));
    options.parse(argc, argv);
    if (load.entries.empty() || load.services.empty())
        throw std::invalid_argument("--entry and --service are needed");
    load.duration = std::chrono::milliseconds(duration);
    load.think = std::chrono::milliseconds(think);
    load.shortRun = std::chrono::milliseconds(shortRun);
    load.longRun = std::chrono::milliseconds(longRun);
    load.deadline = std::chrono::milliseconds(deadline);
    return load;
}

// One caller: sends a request after another and resends those whose end is bad or unknown, with the same
// idempotency key.
class User {
public:
    User(const LoadOptions& options, Balancer& balancer, int number)
        : m_options(options)
        , m_balancer(balancer)
        , m_number(number)
        , m_random(static_cast<std::uint64_t>(number) + 1)
    {
    }

    void runUntil(TimePoint end)
    {
        std::exponential_distribution<double> pause(1.0);
        while (m_clock.now() < end && !stopRequested) {
            runRequest();
            std::this_thread::sleep_for(m_options.think * pause(m_random));
        }
    }

    [[nodiscard]] const std::vector<Attempt>& attempts() const { return m_attempts; }

private:
    struct Request {
        std::string id;
        std::string service;
        bool idempotent { true };
        std::string key;
        std::chrono::milliseconds runTime {};
    };

    Request nextRequest()
    {
        const auto id = fmt::format("{}-{}-{}", m_options.run, m_number, m_requests++);
        std::uniform_int_distribution<std::size_t> service(0, m_options.services.size() - 1);
        const bool isLong = std::bernoulli_distribution(m_options.longShare)(m_random);
        const bool isPost = std::bernoulli_distribution(m_options.postShare)(m_random);
        const bool isMinted = isPost && std::bernoulli_distribution(m_options.mintShare)(m_random);
        return { id, m_options.services[service(m_random)], !isPost, isMinted ? mintKey(id) : id,
            isLong ? m_options.longRun : m_options.shortRun };
    }

    // Asks an entry for a key; falls back to the caller's own.
    std::string mintKey(const std::string& fallback)
    {
        const auto reply
            = m_caller.call({ "POST", m_balancer.next(), "/v1/keys", "{}", {}, m_options.deadline });
        const auto json = nlohmann::json::parse(reply.body, nullptr, false);
        return json.is_object() ? json.value("key", fallback) : fallback;
    }

    void runRequest()
    {
        const auto request = nextRequest();
        for (int number = 0; number < m_options.maxAttempts; ++number) {
            if (number > 0)
                std::this_thread::sleep_for(pauseBeforeResend);
            if (isSettled(attempt(request, number)))
                return;
        }
    }

    static bool isSettled(const Attempt& attempt)
    {
        return attempt.end == ExchangeEnd::Answered && attempt.outcome == "ran";
    }

    const Attempt& attempt(const Request& request, int number)
    {
        const auto attemptId = fmt::format("{}#{}", request.id, number);
        CallerRequest call { request.idempotent ? "GET" : "POST", m_balancer.next(),
            fmt::format("/{}/plan", request.service), request.idempotent ? "" : "{}",
            { { "X-Request-Id", request.id }, { "X-Attempt-Id", attemptId },
                { "X-Run-Ms", std::to_string(request.runTime.count()) },
                { "Request-Timeout-Ms", std::to_string(m_options.deadline.count()) } },
            m_options.deadline + std::chrono::seconds(2) };
        if (!request.idempotent)
            call.headers.emplace_back("Idempotency-Key", request.key);
        auto reply = m_caller.call(call);
        m_attempts.push_back(
            { request.id, attemptId, request.service, request.idempotent, reply.end, reply.status,
                reply.outcome, requestIdOfAnswer(reply.body), problemTitle(reply.body), reply.elapsed });
        return m_attempts.back();
    }

    const LoadOptions& m_options;
    Balancer& m_balancer;
    int m_number;
    SystemClock m_clock;
    std::mt19937_64 m_random;
    HttpCaller m_caller;
    int m_requests { 0 };
    std::vector<Attempt> m_attempts;
};

std::vector<Attempt> runUsers(const LoadOptions& options)
{
    Balancer balancer(options.entries, healthInterval);
    std::vector<User> users;
    users.reserve(static_cast<std::size_t>(options.users));
    for (int number = 0; number < options.users; ++number)
        users.emplace_back(options, balancer, number);
    const auto end = SystemClock().now() + options.duration;
    {
        std::vector<std::jthread> threads;
        threads.reserve(users.size());
        for (auto& user : users)
            threads.emplace_back([&user, end] { user.runUntil(end); });
    }
    std::vector<Attempt> attempts;
    for (const auto& user : users)
        attempts.insert(attempts.end(), user.attempts().begin(), user.attempts().end());
    return attempts;
}

// The records of all targets; throws if one cannot be asked, since the audit would be blind.
std::vector<TargetRecord> askTargets(const std::vector<std::string>& targets)
{
    HttpCaller caller;
    std::vector<TargetRecord> records;
    for (const auto& target : targets) {
        const auto reply = caller.call({ "GET", target, "/-/runs", {}, {}, joinTimeout });
        if (reply.end != ExchangeEnd::Answered)
            throw std::runtime_error("target does not answer: " + target);
        records.push_back(parseTargetRecord(reply.body));
    }
    return records;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGTERM, [](int) { stopRequested = true; });
    try {
        const auto options = parseOptions(argc, argv);
        const auto attempts = runUsers(options);
        fmt::print("{}", formatReport(audit(attempts, askTargets(options.targets))));
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin_load: {}\n", error.what());
        return 1;
    }
    return 0;
}
