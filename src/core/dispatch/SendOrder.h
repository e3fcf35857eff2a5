#pragma once

#include "core/dispatch/DispatchTables.h"

#include <concepts>
#include <vector>

namespace teaselturn {

/// Decides in which order the requests of one queue are sent when capacity becomes free. Answers a queue that is longer than
/// what can be served in time: a response in time is worth several late ones, so a request that is late already
/// must not make others late.
class SendOrder {
public:
    /// @param find Called as find(PendingRequestId); returns the pending request.
    /// @param isDeferred Called with a pending request; true if it must not be sent yet.
    /// @param latency Expected latency of a request that is sent now.
    /// @return Requests of the queue that may be sent; those that can still meet their target latency come first.
    template <typename Find, std::predicate<const PendingDispatch&> IsDeferred>
    static std::vector<PendingRequestId> select(Instant now, const RequestQueue& queue, Duration latency, Find find, IsDeferred isDeferred)
    {
        std::vector<PendingRequestId> inTime;
        std::vector<PendingRequestId> late;
        for (const auto& position : queue) {
            const PendingDispatch& pending = find(position.id);
            if (!isDeferred(pending)) {
                const bool meetsTarget = now + latency <= pending.request.arrivedAt + pending.route().targetLatency;
                (meetsTarget ? inTime : late).push_back(position.id);
            }
        }
        inTime.insert(inTime.end(), late.begin(), late.end());
        return inTime;
    }
};

}
