#pragma once

#include "core/clock.h"
#include "core/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fulmar::serve {

// Slot held by a call: one of our own share, or one lent by a peer.
struct SlotUse {
    std::optional<ProcessId> lender;
};

// Slots of this entry VM at one target. Each slot of a target belongs to exactly one entry VM, so that the
// target's limit holds without shared state. An entry VM lends idle slots for a short time. A lent slot
// counts as its own again only when the loan has expired and the borrower has reported that no call holds the
// slot.
class SlotAccount {
public:
    // Sets the number of own slots. An increase takes effect at `gainFrom`, a decrease at once.
    void setShare(std::uint32_t share, TimePoint gainFrom, TimePoint now);
    [[nodiscard]] std::uint32_t share(TimePoint now) const;

    [[nodiscard]] std::uint32_t inFlight() const;
    [[nodiscard]] std::uint32_t free(TimePoint now) const;
    // Number of usable slots, busy ones included.
    [[nodiscard]] std::uint32_t limit(TimePoint now) const;

    // Takes a slot; at least one must be free.
    [[nodiscard]] SlotUse take(TimePoint now);
    void returnSlot(const SlotUse&);

    // Lender's side. idle(): own slots that are neither in use nor lent.
    [[nodiscard]] std::uint32_t idle(TimePoint now) const;
    // Records a loan that ends at `endOnBorrowerClock` on the borrower's clock; `now` is on ours. The
    // borrower may not have received it yet, so earlier loans count as well until it reports their end.
    void lend(const ProcessId& borrower, std::uint32_t count, TimePoint endOnBorrowerClock, TimePoint now);
    [[nodiscard]] std::uint32_t lentTo(const ProcessId& borrower, TimePoint now) const;
    // Reports that the borrower used `used` of our slots at `sent` on its clock. Loans that had expired by
    // then can no longer be used.
    void onBorrowerReport(const ProcessId& borrower, std::uint32_t used, TimePoint sent);
    // The peer's process has ended, and its calls with it.
    void forgetPeer(const ProcessId&);
    // Removes written-off loans to peers, and expired loans from peers without slots in use, to keep the
    // account small.
    void dropExpired(TimePoint now);

    // Borrower's side.
    void borrow(const ProcessId& lender, std::uint32_t count, TimePoint until);
    [[nodiscard]] std::uint32_t borrowedInUse(const ProcessId& lender) const;
    [[nodiscard]] bool hasLoanFrom(const ProcessId& lender, TimePoint now) const;

private:
    struct Loan {
        std::uint32_t count { 0 };
        // Expiry on the borrower's clock.
        TimePoint endOnBorrowerClock;
        // When the loan is written off if the borrower never reports again.
        TimePoint writtenOffAt;
    };
    struct BorrowerLoans {
        std::vector<Loan> loans;
        std::uint32_t used { 0 };
    };
    struct Borrowed {
        std::uint32_t count { 0 };
        TimePoint until;
        std::uint32_t used { 0 };
    };

    [[nodiscard]] static std::uint32_t outstanding(const BorrowerLoans&, TimePoint now);
    [[nodiscard]] static std::uint32_t free(const Borrowed&, TimePoint now);
    [[nodiscard]] std::uint32_t lent(TimePoint now) const;

    std::uint32_t m_share { 0 };
    std::uint32_t m_nextShare { 0 };
    TimePoint m_nextShareFrom;
    std::uint32_t m_ownInUse { 0 };
    std::map<ProcessId, BorrowerLoans> m_loans;
    std::map<ProcessId, Borrowed> m_borrowed;
};

// How many of a target's slots belong to `self`. Slots are allocated round-robin over the sharers, ordered by
// a hash of target and process, so that all entry VMs compute the same allocation without communication.
[[nodiscard]] std::uint32_t allocatedSlots(
    const VmId& target, std::uint32_t slots, const std::vector<ProcessId>& sharers, const ProcessId& self);

} // namespace fulmar::serve
