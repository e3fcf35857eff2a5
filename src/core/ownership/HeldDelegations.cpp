#include "core/ownership/HeldDelegations.h"

#include <algorithm>

namespace teaselturn {

void HeldDelegations::add(Instant sentAt, const DelegationReply& reply) noexcept
{
    if (reply.code != ResultCode::Ok || reply.length <= std::chrono::milliseconds::zero()) {
        return;
    }
    const Delegation added { sentAt + reply.length, reply.commitIndex };
    const auto covers = [](const Delegation& left, const Delegation& right) {
        return left.end >= right.end && left.commitIndex <= right.commitIndex;
    };
    for (const auto& existing : this->delegations) {
        if (covers(existing, added)) {
            return;
        }
    }
    auto* const replaced = std::min_element(this->delegations.begin(), this->delegations.end(), [&](const auto& left, const auto& right) {
        return std::pair { !covers(added, left), left.end } < std::pair { !covers(added, right), right.end };
    });
    *replaced = added;
}

Instant HeldDelegations::end() const noexcept
{
    Instant last;
    for (const auto& delegation : this->delegations) {
        last = std::max(last, delegation.end);
    }
    return last;
}

Instant HeldDelegations::usableUntil(LogIndex appliedIndex) const noexcept
{
    Instant last;
    for (const auto& delegation : this->delegations) {
        if (delegation.commitIndex <= appliedIndex) {
            last = std::max(last, delegation.end);
        }
    }
    return last;
}

}
