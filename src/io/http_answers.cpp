#include "io/http_answers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fulmar {

namespace {

// 422 for invalid input, otherwise by outcome. May have run: 502 or 504. Ran, but the answer is lost: 410.
// Not run: 404, 409, 429 or 503.
std::uint32_t statusOf(const Failure& failure)
{
    if (failure.reason == Reason::BadInput)
        return 422;
    if (failure.outcome == Outcome::MayHaveRun)
        return failure.reason == Reason::DeadlineExceeded ? 504 : 502;
    if (failure.outcome == Outcome::Ran)
        return 410;
    switch (failure.reason) {
    case Reason::NotFound:
        return 404;
    case Reason::Conflict:
        return 409;
    case Reason::QuotaExceeded:
        return 429;
    default:
        return 503;
    }
}

} // namespace

HttpAnswer jsonAnswer(std::uint32_t status, Outcome outcome, std::string body)
{
    return { status,
        { { "Content-Type", "application/json" }, { outcomeHeader, std::string(toString(outcome)) } },
        std::move(body) };
}

HttpAnswer problemAnswer(const Failure& failure, std::chrono::seconds retryAfter)
{
    auto status = statusOf(failure);
    nlohmann::json problem {
        { "type", "about:blank" },
        { "title", std::string(toString(failure.reason)) },
        { "status", status },
        { "detail", failure.detail },
        { "outcome", std::string(toString(failure.outcome)) },
    };
    auto body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    auto answer = jsonAnswer(status, failure.outcome, std::move(body));
    answer.headers.front().second = "application/problem+json";
    if (retryAfter.count() > 0)
        answer.headers.emplace_back("Retry-After", fmt::format("{}", retryAfter.count()));
    return answer;
}

} // namespace fulmar
