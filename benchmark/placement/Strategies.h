#pragma once

#include "Workload.h"

#include <xxhash.h>

namespace teaselturn::placement {

/// The placement of teaselturn, which assigns slots without an owner and makes up to 30 other moves per minute.
class BoundedLoad {
public:
    /// @param allowsMoves False to move only slots that lost their owner.
    explicit BoundedLoad(bool allowsMoves)
        : allowsMoves(allowsMoves)
    {
    }

    void place(int second, const Workload&, PlacementState& state)
    {
        for (auto& slot : state.slots) {
            if (std::ranges::find(state.upstreams, slot.owner, &PlacementUpstream::id) == state.upstreams.end()) {
                slot.owner = {};
            }
        }
        // The bound applies to each minute; the coordinator postpones further moves.
        this->movesLeft = second % 60 == 0 ? movesPerMinute : this->movesLeft;
        const ServiceSpec service { ServiceId { 1 } };
        const auto decision = this->policy.place({}, service, state.upstreams, state.slots, this->allowsMoves ? this->movesLeft : 0);
        this->movesLeft -= std::min(this->movesLeft, decision.moves.size());
        for (const auto* list : { &decision.assignments, &decision.moves }) {
            for (const auto& assignment : *list) {
                state.slots[assignment.slot.index].owner = assignment.owner;
            }
        }
    }

private:
    static constexpr std::size_t movesPerMinute = 30;
    bool allowsMoves {};
    std::size_t movesLeft {};
    BoundedLoadPlacement policy;
};

/// Selects the server by the slot number modulo the number of servers.
struct Modulo {
    void place(int, const Workload&, PlacementState& state) const
    {
        for (auto& slot : state.slots) {
            slot.owner = state.upstreams[slot.slot.index % state.upstreams.size()].id;
        }
    }
};

/// Rendezvous hashing: selects the server with the highest hash of slot and server.
struct Rendezvous {
    void place(int, const Workload&, PlacementState& state) const
    {
        for (auto& slot : state.slots) {
            const auto weight = [&slot](const PlacementUpstream& upstream) { return XXH3_64bits_withSeed(&upstream.id.value, sizeof(upstream.id.value), slot.slot.index); };
            slot.owner = std::ranges::max_element(state.upstreams, {}, weight)->id;
        }
    }
};

}
