#include "serve/slot_account.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <xxhash.h>

namespace fulmar::serve {

namespace {

// A loan is written off this long after it was made if the borrower has not reported its end.
constexpr Duration loanWriteOffTime = std::chrono::seconds(60);

} // namespace

void SlotAccount::setShare(std::uint32_t share, TimePoint gainFrom, TimePoint now)
{
    m_share = std::min(this->share(now), share);
    m_nextShare = share;
    m_nextShareFrom = gainFrom;
}

std::uint32_t SlotAccount::share(TimePoint now) const
{
    return now >= m_nextShareFrom ? m_nextShare : m_share;
}

std::uint32_t SlotAccount::inFlight() const
{
    auto count = m_ownInUse;
    for (const auto& [lender, borrowed] : m_borrowed)
        count += borrowed.used;
    return count;
}

std::uint32_t SlotAccount::free(TimePoint now) const
{
    auto count = idle(now);
    for (const auto& [lender, borrowed] : m_borrowed)
        count += free(borrowed, now);
    return count;
}

std::uint32_t SlotAccount::limit(TimePoint now) const { return inFlight() + free(now); }

SlotUse SlotAccount::take(TimePoint now)
{
    if (idle(now) > 0) {
        ++m_ownInUse;
        return {};
    }
    for (auto& [lender, borrowed] : m_borrowed)
        if (free(borrowed, now) > 0) {
            ++borrowed.used;
            return { lender };
        }
    assert(!"take() needs a free slot");
    return {};
}

void SlotAccount::returnSlot(const SlotUse& use)
{
    if (!use.lender) {
        assert(m_ownInUse > 0);
        --m_ownInUse;
        return;
    }
    auto& borrowed = m_borrowed.at(*use.lender);
    assert(borrowed.used > 0);
    --borrowed.used;
}

std::uint32_t SlotAccount::idle(TimePoint now) const
{
    auto own = share(now);
    auto busy = m_ownInUse + lent(now);
    return own > busy ? own - busy : 0;
}

void SlotAccount::lend(
    const ProcessId& borrower, std::uint32_t count, TimePoint endOnBorrowerClock, TimePoint now)
{
    if (count > 0)
        m_loans[borrower].loans.push_back({ count, endOnBorrowerClock, now + loanWriteOffTime });
}

std::uint32_t SlotAccount::lentTo(const ProcessId& borrower, TimePoint now) const
{
    auto position = m_loans.find(borrower);
    return position == m_loans.end() ? 0 : outstanding(position->second, now);
}

void SlotAccount::onBorrowerReport(const ProcessId& borrower, std::uint32_t used, TimePoint sent)
{
    auto position = m_loans.find(borrower);
    if (position == m_loans.end())
        return;
    auto& account = position->second;
    account.used = used;
    std::erase_if(account.loans, [sent](const Loan& loan) { return loan.endOnBorrowerClock <= sent; });
}

void SlotAccount::forgetPeer(const ProcessId& peer)
{
    m_loans.erase(peer);
    if (auto position = m_borrowed.find(peer); position != m_borrowed.end())
        position->second.until = {};
}

void SlotAccount::dropExpired(TimePoint now)
{
    for (auto& [borrower, account] : m_loans)
        std::erase_if(account.loans, [now](const Loan& loan) { return loan.writtenOffAt <= now; });
    std::erase_if(
        m_loans, [](const auto& entry) { return entry.second.loans.empty() && entry.second.used == 0; });
    std::erase_if(
        m_borrowed, [now](const auto& entry) { return entry.second.until <= now && entry.second.used == 0; });
}

void SlotAccount::borrow(const ProcessId& lender, std::uint32_t count, TimePoint until)
{
    auto& borrowed = m_borrowed[lender];
    borrowed.count = count;
    borrowed.until = until;
}

std::uint32_t SlotAccount::borrowedInUse(const ProcessId& lender) const
{
    auto position = m_borrowed.find(lender);
    return position == m_borrowed.end() ? 0 : position->second.used;
}

bool SlotAccount::hasLoanFrom(const ProcessId& lender, TimePoint now) const
{
    auto position = m_borrowed.find(lender);
    return position != m_borrowed.end() && position->second.until > now;
}

// The borrower may have used any loan whose end it has not reported, so the largest loan counts.
std::uint32_t SlotAccount::outstanding(const BorrowerLoans& account, TimePoint now)
{
    auto count = account.used;
    for (const auto& loan : account.loans)
        if (loan.writtenOffAt > now)
            count = std::max(count, loan.count);
    return count;
}

std::uint32_t SlotAccount::free(const Borrowed& borrowed, TimePoint now)
{
    return borrowed.until > now && borrowed.count > borrowed.used ? borrowed.count - borrowed.used : 0;
}

std::uint32_t SlotAccount::lent(TimePoint now) const
{
    std::uint32_t count = 0;
    for (const auto& [borrower, account] : m_loans)
        count += outstanding(account, now);
    return count;
}

std::uint32_t allocatedSlots(
    const VmId& target, std::uint32_t slots, const std::vector<ProcessId>& sharers, const ProcessId& self)
{
    auto rank = [&target](const ProcessId& process) {
        auto text = target.value() + '\n' + process.value();
        return std::make_pair(XXH3_64bits(text.data(), text.size()), process.value());
    };
    auto ownRank = rank(self);
    auto before = std::count_if(sharers.begin(), sharers.end(),
        [&](const ProcessId& process) { return process != self && rank(process) < ownRank; });
    auto count = std::uint32_t(sharers.size());
    assert(std::find(sharers.begin(), sharers.end(), self) != sharers.end());
    return slots / count + (std::uint32_t(before) < slots % count ? 1 : 0);
}

} // namespace fulmar::serve
