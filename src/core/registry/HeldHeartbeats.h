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

/// Heartbeats whose answers wait for news for their sender, one for each upstream. Not thread-safe.
/// @tparam RequestId Identifies the control request that a heartbeat came with.
template <typename RequestId>
class HeldHeartbeats {
public:
    struct Held {
        RequestId requestId {};
        KeyHeartbeat heartbeat;
        /// Latest time of the answer.
        Instant answerBy;
    };

    /// @return The earlier heartbeat of the same upstream, whose answer is not worth waiting for any more.
    std::optional<Held> add(Held held)
    {
        const auto name = held.heartbeat.announcement.key.name;
        auto earlier = this->take(name);
        this->deadlines.emplace(held.answerBy, name);
        this->byUpstream.emplace(name, std::move(held));
        return earlier;
    }

    std::optional<Held> take(std::string_view upstream)
    {
        const auto found = this->byUpstream.find(upstream);
        if (found == this->byUpstream.end()) {
            return std::nullopt;
        }
        auto held = std::move(found->second);
        this->deadlines.erase({ held.answerBy, found->first });
        this->byUpstream.erase(found);
        return held;
    }

    /// @return A heartbeat whose time is over; nothing where there is none.
    std::optional<Held> takeDue(Instant now)
    {
        if (this->deadlines.empty() || this->deadlines.begin()->first > now) {
            return std::nullopt;
        }
        return this->take(std::string { this->deadlines.begin()->second });
    }

    /// @return Any heartbeat; nothing where none is held.
    std::optional<Held> takeAny() { return this->takeDue(Instant::max()); }

private:
    absl::btree_map<std::string, Held, std::less<>> byUpstream;
    absl::btree_set<std::pair<Instant, std::string>> deadlines;
};

}
