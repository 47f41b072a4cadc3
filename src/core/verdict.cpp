#include "core/verdict.h"

namespace fulmar {

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Ran:
        return "ran";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::string_view toString(Reason reason)
{
    switch (reason) {
    case Reason::BadInput:
        return "bad-input";
    case Reason::NotFound:
        return "not-found";
    case Reason::Conflict:
        return "conflict";
    case Reason::QuotaExceeded:
        return "quota-exceeded";
    case Reason::Overloaded:
        return "overloaded";
    case Reason::DeadlineExceeded:
        return "deadline-exceeded";
    case Reason::NoTarget:
        return "no-target";
    case Reason::TargetFailed:
        return "target-failed";
    case Reason::Truncated:
        return "truncated";
    case Reason::StoreUnavailable:
        return "store-unavailable";
    case Reason::LeaseLost:
        return "lease-lost";
    case Reason::BudgetExhausted:
        return "budget-exhausted";
    case Reason::Draining:
        return "draining";
    case Reason::KeyUnknown:
        return "key-unknown";
    case Reason::Cancelled:
        return "cancelled";
    case Reason::Internal:
        return "internal";
    }
    return "internal";
}

} // namespace fulmar
