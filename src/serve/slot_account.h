#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmar::serve {

// Which slot a call holds: one of our own share, or one that a peer lent.
struct SlotUse {
    std::optional<ProcessId> lender;
};

// Our slots at one target. Each slot of a target belongs to one entry VM, so that the target's limit holds
// without common memory. An entry VM with idle slots lends them for a short time, and counts them as its own
// again only when the loan is over and the borrower has reported that no call holds them.
class SlotAccount {
public:
    // Sets how many slots are ours. A gain counts from `gainFrom` on, a loss at once.
    void setShare(std::uint32_t share, TimePoint gainFrom, TimePoint now);
    [[nodiscard]] std::uint32_t share(TimePoint now) const;

    [[nodiscard]] std::uint32_t inFlight() const;
    [[nodiscard]] std::uint32_t free(TimePoint now) const;
    // Slots that we may use in all, busy or not.
    [[nodiscard]] std::uint32_t limit(TimePoint now) const;

    // Takes a slot; there must be a free one.
    [[nodiscard]] SlotUse take(TimePoint now);
    void returnSlot(const SlotUse&);

    // Lender's side: own slots that are idle and not lent; a loan; what the borrower says is in use.
    [[nodiscard]] std::uint32_t idle(TimePoint now) const;
    // A new loan to the same borrower takes the place of the one before, once it arrives there. It ends at
    // `endOnBorrowerClock` on the borrower's clock; `now` is ours.
    void lend(const ProcessId& borrower, std::uint32_t count, TimePoint endOnBorrowerClock, TimePoint now);
    [[nodiscard]] std::uint32_t lentTo(const ProcessId& borrower, TimePoint now) const;
    // The borrower had `used` of our slots in use at `sent` on its clock. Loans that had ended by then cannot
    // be drawn on any more.
    void onBorrowerReport(const ProcessId& borrower, std::uint32_t used, TimePoint sent);
    // The borrower's process is over, and its calls with it.
    void forgetPeer(const ProcessId&);
    // Drops what is past, to keep the account small.
    void dropExpired(TimePoint now);

    // Borrower's side.
    void borrow(const ProcessId& lender, std::uint32_t count, TimePoint until);
    [[nodiscard]] std::uint32_t borrowedInUse(const ProcessId& lender) const;
    [[nodiscard]] bool hasLoanFrom(const ProcessId& lender, TimePoint now) const;

private:
    struct Grant {
        std::uint32_t count { 0 };
        // On the borrower's clock.
        TimePoint endOnBorrowerClock;
        // When a borrower that never reports again is given up.
        TimePoint writtenOffAt;
    };
    struct Loan {
        std::vector<Grant> grants;
        std::uint32_t used { 0 };
    };
    struct Borrowed {
        std::uint32_t count { 0 };
        TimePoint until;
        std::uint32_t used { 0 };
    };

    [[nodiscard]] static std::uint32_t outstanding(const Loan&, TimePoint now);
    [[nodiscard]] static std::uint32_t free(const Borrowed&, TimePoint now);
    [[nodiscard]] std::uint32_t lent(TimePoint now) const;

    std::uint32_t m_share { 0 };
    std::uint32_t m_nextShare { 0 };
    TimePoint m_nextShareFrom;
    std::uint32_t m_ownInUse { 0 };
    std::map<ProcessId, Loan> m_loans;
    std::map<ProcessId, Borrowed> m_borrowed;
};

// How many of a target's slots belong to `self`: they are dealt out one by one over the sharers, in the order
// of a hash over target and process, so that every entry VM finds the same without asking.
[[nodiscard]] std::uint32_t allocatedSlots(
    const VmId& target, std::uint32_t slots, const std::vector<ProcessId>& sharers, const ProcessId& self);

} // namespace fulmar::serve
