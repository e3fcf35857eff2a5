#pragma once

#include "core/registry/KeyHeartbeat.h"
#include "teaselturn/Types.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace teaselturn {

/// Heartbeats whose replies are delayed until the sender's keys change or a deadline passes; at most one for each
/// upstream. Not thread-safe.
/// @tparam RequestId Type that identifies the control request of a heartbeat.
template <typename RequestId>
class HeldHeartbeats {
public:
    struct Held {
        RequestId requestId {};
        KeyHeartbeat heartbeat;
        /// Time by which the reply is sent at the latest.
        Instant replyBy;
    };

    /// Adds a heartbeat and replaces an earlier one of the same upstream.
    /// @return The earlier heartbeat, which is to be replied to at once; empty if there was none.
    std::optional<Held> add(Held held)
    {
        const auto name = held.heartbeat.announcement.key.name;
        auto earlier = this->take(name);
        this->deadlines.emplace(held.replyBy, name);
        this->byUpstream.emplace(name, std::move(held));
        return earlier;
    }

    /// Removes the heartbeat of an upstream.
    /// @return The heartbeat; empty if there is none.
    std::optional<Held> take(std::string_view upstream)
    {
        const auto found = this->byUpstream.find(upstream);
        if (found == this->byUpstream.end()) {
            return std::nullopt;
        }
        auto held = std::move(found->second);
        this->deadlines.erase({ held.replyBy, found->first });
        this->byUpstream.erase(found);
        return held;
    }

    /// Removes a heartbeat whose reply is due.
    /// @return The heartbeat; empty if none is due.
    std::optional<Held> takeDue(Instant now)
    {
        if (this->deadlines.empty() || this->deadlines.begin()->first > now) {
            return std::nullopt;
        }
        return this->take(std::string { this->deadlines.begin()->second });
    }

    /// Removes the heartbeat with the earliest deadline.
    /// @return The heartbeat; empty if there is none.
    std::optional<Held> takeAny() { return this->takeDue(Instant::max()); }

private:
    absl::btree_map<std::string, Held, std::less<>> byUpstream;
    absl::btree_set<std::pair<Instant, std::string>> deadlines;
};

}
