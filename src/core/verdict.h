#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace fulmar {

// Whether a request was executed. Ran and NotRun are certain; MayHaveRun covers everything else.
enum class Outcome : std::uint8_t {
    Ran,
    NotRun,
    MayHaveRun,
};

// Why an operation failed.
enum class Reason : std::uint8_t {
    BadInput,
    NotFound,
    Conflict,
    QuotaExceeded,
    Overloaded,
    DeadlineExceeded,
    NoTarget,
    TargetFailed,
    Truncated,
    StoreUnavailable,
    LeaseLost,
    BudgetExhausted,
    Draining,
    KeyUnknown,
    Cancelled,
    Internal,
};

// A failed operation: whether it may have taken effect, why it failed, and a message for people.
struct Failure {
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::Internal };
    std::string detail;

    bool operator==(const Failure&) const = default;
};

template <typename T> using Result = tl::expected<T, Failure>;

[[nodiscard]] std::string_view toString(Outcome);
[[nodiscard]] std::string_view toString(Reason);

inline std::ostream& operator<<(std::ostream& out, Outcome outcome) { return out << toString(outcome); }
inline std::ostream& operator<<(std::ostream& out, Reason reason) { return out << toString(reason); }

// A failure before execution: the operation certainly had no effect.
[[nodiscard]] inline tl::unexpected<Failure> notRun(Reason reason, std::string detail)
{
    return tl::unexpected(Failure { Outcome::NotRun, reason, std::move(detail) });
}

// A failure after which the operation may or may not have taken effect.
[[nodiscard]] inline tl::unexpected<Failure> mayHaveRun(Reason reason, std::string detail)
{
    return tl::unexpected(Failure { Outcome::MayHaveRun, reason, std::move(detail) });
}

} // namespace fulmar
