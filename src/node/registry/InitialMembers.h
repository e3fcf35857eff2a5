#pragma once

#include "adapters/codec/RegistryCodec.h"
#include "core/ledger/InitialDisk.h"
#include "core/ledger/Member.h"
#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"

#include <concepts>
#include <span>

namespace teaselturn {

template <typename T>
concept SnapshotStore = requires(T& store, const LedgerSnapshot& snapshot)
{
    {
        store.saveSnapshot(snapshot)
        } -> std::same_as<Status>;
};

/// Stores the initial members of a new registry as a snapshot before the first log entry. Only the first start is a
/// bootstrap, so a member that kept them in memory only would have no members after its next start.
/// @param state State read from the store. If it isn't empty, nothing is written; otherwise it gets the new snapshot.
/// @return Success, or LogWriteFailed.
template <SnapshotStore Store>
Status recordInitialMembers(Store& store, MemberState& state, std::span<const NodeId> nodes)
{
    if (state.snapshot || !state.entries.empty() || state.hardState.term != Term {}) {
        return success();
    }
    RegistrySnapshot registry;
    for (const auto node : nodes) {
        registry.members.push_back({ node, initialDiskId(node), true });
    }
    LedgerSnapshot snapshot { {}, {}, registry.members, BinaryRegistryCodec {}.encode(registry) };
    if (auto saved = store.saveSnapshot(snapshot); !saved) {
        return saved;
    }
    state.snapshot = std::move(snapshot);
    return success();
}

}
