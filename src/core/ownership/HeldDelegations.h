#pragma once

#include "teaselturn/Message.h"
#include "teaselturn/Types.h"

#include <array>
#include <cstddef>

namespace teaselturn {

/// Delegations that an entry VM holds. Each is usable only once the entry VM has applied the commit index that came
/// with it: until then its table may show a session or an owner that the leader has already replaced.
class HeldDelegations {
public:
    /// @param sentAt When the request for this reply was sent.
    void add(Instant sentAt, const DelegationReply& reply) noexcept;

    /// @return The end of the longest delegation, whether or not its commit index is applied.
    Instant end() const noexcept;

    /// @return The end of the longest delegation whose commit index is applied.
    Instant usableUntil(LogIndex appliedIndex) const noexcept;

private:
    struct Delegation {
        Instant end;
        LogIndex commitIndex;
    };

    /// Number of renewals within one delegation length, with a margin for early ones.
    static constexpr std::size_t maxDelegations = 8;
    std::array<Delegation, maxDelegations> delegations {};
};

}
