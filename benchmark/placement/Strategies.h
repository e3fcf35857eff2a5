#pragma once

#include "Workload.h"

#include <xxhash.h>

namespace teaselturn::placement {

/// The product's placement, with its bound of 30 moves a minute, or only for slots that lost their owner.
class BoundedLoad {
public:
    explicit BoundedLoad(bool moves)
        : moves(moves)
    {
    }

    void place(int second, const Workload&, Placed& placed)
    {
        for (auto& slot : placed.slots) {
            if (std::ranges::find(placed.upstreams, slot.owner, &PlacementUpstream::id) == placed.upstreams.end()) {
                slot.owner = {};
            }
        }
        // The bound is per minute; the coordinator lets the rest of it wait.
        this->left = second % 60 == 0 ? movesPerMinute : this->left;
        const ServiceSpec service { ServiceId { 1 } };
        const auto decision = this->policy.place({}, service, placed.upstreams, placed.slots, this->moves ? this->left : 0);
        this->left -= std::min(this->left, decision.moves.size());
        for (const auto* list : { &decision.assignments, &decision.moves }) {
            for (const auto& assignment : *list) {
                placed.slots[assignment.slot.index].owner = assignment.owner;
            }
        }
    }

private:
    static constexpr std::size_t movesPerMinute = 30;
    bool moves {};
    std::size_t left {};
    BoundedLoadPlacement policy;
};

/// Slot number modulo the number of servers.
struct Modulo {
    void place(int, const Workload&, Placed& placed) const
    {
        for (auto& slot : placed.slots) {
            slot.owner = placed.upstreams[slot.slot.index % placed.upstreams.size()].id;
        }
    }
};

/// The server with the highest hash of slot and server.
struct Rendezvous {
    void place(int, const Workload&, Placed& placed) const
    {
        for (auto& slot : placed.slots) {
            const auto weight = [&slot](const PlacementUpstream& upstream) { return XXH3_64bits_withSeed(&upstream.id.value, sizeof(upstream.id.value), slot.slot.index); };
            slot.owner = std::ranges::max_element(placed.upstreams, {}, weight)->id;
        }
    }
};

}
